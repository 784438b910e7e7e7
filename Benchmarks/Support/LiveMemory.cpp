#include "Support/LiveMemory.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

static std::atomic<std::int64_t> liveCount {0};
static std::atomic<std::uint64_t> allocations {0};
static std::atomic<std::uint64_t> givenOut {0};

static void *allocate(std::size_t size)
{
    void *memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    const std::size_t usable = malloc_usable_size(memory);
    liveCount += static_cast<std::int64_t>(usable);
    givenOut += usable;
    ++allocations;
    return memory;
}

static void release(void *memory) noexcept
{
    if (memory != nullptr) {
        liveCount -= static_cast<std::int64_t>(malloc_usable_size(memory));
        std::free(memory);
    }
}

void *operator new(std::size_t size)
{
    return allocate(size);
}

void *operator new[](std::size_t size)
{
    return allocate(size);
}

void operator delete(void *memory) noexcept
{
    release(memory);
}

void operator delete[](void *memory) noexcept
{
    release(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    release(memory);
}

void operator delete[](void *memory, std::size_t) noexcept
{
    release(memory);
}

namespace Bench
{
std::int64_t liveBytes()
{
    return liveCount;
}

std::uint64_t allocationCount()
{
    return allocations;
}

std::uint64_t allocatedBytes()
{
    return givenOut;
}
} // namespace Bench
