#include "LibQuery/Coverage.h"

#include "LibCore/Verify.h"
#include "LibQuery/QueryState.h"

namespace Query
{
double coverageOf(const query_state &query)
{
    double totalWeight = 0.0;
    double answered = 0.0;
    VERIFY(query.shards.size() == query.plan.shards.size());
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        totalWeight += query.plan.shards[index].weight;
        answered += query.shards[index].answered ? query.plan.shards[index].weight : 0.0;
    }
    if (query.shardsAnswered == query.shards.size()) {
        return 1.0; // Rounding errors of the sums must not make a complete answer look partial.
    }
    return totalWeight > 0.0 ? answered / totalWeight : 0.0;
}
} // namespace Query
