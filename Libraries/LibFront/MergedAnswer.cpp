#include "LibFront/MergedAnswer.h"

#include "LibForward/RequestState.h"
#include "LibForward/Route.h"
#include "LibForward/TopRecords.h"
#include "LibFront/HeaderNames.h"

#include <string_view>
#include <utility>
#include <vector>

namespace Front
{
answer mergedAnswer(const Forward::request_state &request, const std::string &requestId, const header_names &names)
{
    answer result;
    result.status = 200;
    std::string digests;
    std::vector<std::string_view> partialRecords;
    std::size_t missing = 0;
    for (const Forward::subrequest_state &subrequest : request.subrequests) {
        if (!subrequest.answer) {
            ++missing;
            continue;
        }
        digests += digests.empty() ? "" : ", ";
        digests += subrequest.answer->digest;
        partialRecords.push_back(subrequest.answer->records);
    }
    result.headers.emplace_back(names.requestId, requestId);
    result.headers.emplace_back(names.shardDigests, std::move(digests));
    result.headers.emplace_back(names.missingShards, std::to_string(missing));
    result.body = Forward::selectTopRecords(partialRecords, request.plan.matched->topRecords);
    return result;
}
} // namespace Front
