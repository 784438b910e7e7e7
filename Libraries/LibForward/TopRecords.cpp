#include "LibForward/TopRecords.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace Forward
{
std::string selectTopRecords(std::span<const std::string_view> partialResults, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view partialResult : partialResults) {
        for (std::size_t offset = 0; offset + recordSize <= partialResult.size(); offset += recordSize) {
            records.push_back(partialResult.substr(offset, recordSize));
        }
    }
    const std::size_t kept = std::min(count, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
                      std::greater<>());
    std::string result;
    result.reserve(kept * recordSize);
    for (std::size_t index = 0; index < kept; ++index) {
        result += records[index];
    }
    return result;
}
} // namespace Forward
