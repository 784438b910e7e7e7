#include "QueryFixture.h"

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace
{
/// Ends the attempts of a query with valid, invalid, duplicate and failed answers, and computes the expected coverage
/// independently.
struct coverage_property : query_fixture {
    std::vector<Query::send_attempt> sent;
    std::set<std::uint64_t> ended;
    std::set<std::size_t> answered;
    bool mayHaveRun = false;
    std::optional<Query::query_result> finished;

    void applyEffects(Query::query_effects effects)
    {
        sent.insert(sent.end(), effects.sends.begin(), effects.sends.end());
        if (effects.finished) {
            finished = std::move(effects.finished);
        }
    }

    void answer(const Query::send_attempt &attempt, bool first, const std::string &requestId,
                const std::string &snapshot)
    {
        Query::shard_answer answer = answerFor(attempt.shard);
        answer.requestId = requestId;
        answer.snapshot = snapshot;
        mayHaveRun = mayHaveRun || first;
        if (first && requestId == "id" && snapshot == "snapshot-1") {
            answered.insert(attempt.shard);
        }
        applyEffects(Query::onAnswer(query, service, attempt.attempt, answer, now, random));
    }

    void step(const Query::send_attempt &attempt, int kind)
    {
        const bool first = ended.insert(attempt.attempt).second;
        switch (kind) {
        case 0:
            answer(attempt, first, "id", "snapshot-1");
            break;
        case 1:
            answer(attempt, first, "id", "snapshot-2");
            break;
        case 2:
            answer(attempt, first, "another", "snapshot-1");
            break;
        case 3:
            applyEffects(
                Query::onFailure(query, service, attempt.attempt, Backend::attempt_failure::NotRun, now, random));
            break;
        default:
            mayHaveRun = mayHaveRun || first;
            applyEffects(Query::onFailure(query, service, attempt.attempt, Backend::attempt_failure::ConnectionLost,
                                          now, random));
        }
    }

    void endAtDeadline()
    {
        mayHaveRun = mayHaveRun
            || std::any_of(query.shards.begin(), query.shards.end(),
                           [](const Query::shard_state &shard) { return !shard.running.empty(); });
        applyEffects(Query::onTimer(query, service, query.plan.deadline, random));
    }

    [[nodiscard]] double expectedCoverage() const
    {
        double totalWeight = 0.0;
        double answeredWeight = 0.0;
        for (std::size_t shard = 0; shard < query.plan.shards.size(); ++shard) {
            totalWeight += query.plan.shards[shard].weight;
            answeredWeight += answered.contains(shard) ? query.plan.shards[shard].weight : 0.0;
        }
        return answeredWeight / totalWeight;
    }
};
} // namespace

RC_GTEST_FIXTURE_PROP(coverage_property, CoverageMatchesAnsweredShardsAndNotRunIsReportedOnlyIfProven, ())
{
    prepare(*rc::gen::inRange<std::size_t>(1, 12));
    service.extraLoad.tokens = 100.0;
    for (Query::planned_shard &shard : query.plan.shards) {
        shard.weight = *rc::gen::inRange(1, 1000);
    }
    query.plan.idempotent = *rc::gen::arbitrary<bool>();
    applyEffects(Query::startQuery(query, service, now, random));
    const auto steps = *rc::gen::inRange(0, 40);
    constexpr int stepKinds = 5;
    for (int count = 0; count < steps && !finished; ++count) {
        step(sent[*rc::gen::inRange<std::size_t>(0, sent.size())], *rc::gen::inRange(0, stepKinds));
    }
    if (!finished) {
        endAtDeadline();
    }
    RC_ASSERT(finished.has_value());
    RC_ASSERT(std::abs(finished->coverage - expectedCoverage()) < 1e-9);
    RC_ASSERT((finished->result == Query::outcome::NotRun) == !mayHaveRun);
}
