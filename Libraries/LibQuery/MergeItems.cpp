#include "LibQuery/MergeItems.h"

#include <algorithm>
#include <utility>

namespace Query
{
static bool isBetter(const result_item &left, const result_item &right)
{
    return left.score != right.score ? left.score > right.score : left.id < right.id;
}

void mergeItems(std::vector<result_item> &best, std::vector<result_item> &&added)
{
    for (result_item &item : added) {
        if (best.size() < maximumResultItems) {
            best.push_back(std::move(item));
            std::push_heap(best.begin(), best.end(), isBetter);
        } else if (isBetter(item, best.front())) {
            std::pop_heap(best.begin(), best.end(), isBetter);
            best.back() = std::move(item);
            std::push_heap(best.begin(), best.end(), isBetter);
        }
    }
}

void sortItems(std::vector<result_item> &best)
{
    std::sort_heap(best.begin(), best.end(), isBetter);
}
} // namespace Query
