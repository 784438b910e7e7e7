#pragma once

#include <atomic>
#include <cstdint>

namespace Observability
{
/// A monotonically increasing counter. Thread-safe.
class metric_counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value {0};
};
} // namespace Observability
