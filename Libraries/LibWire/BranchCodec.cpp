#include "LibWire/BranchCodec.h"

#include "LibWire/CheckLength.h"

#include "LibWire/TextCodec.h"

#include <algorithm>
#include <cmath>

namespace Wire
{
/// Upper bound of the time that a peer may request, so that a deadline computed from it cannot overflow.
static constexpr std::chrono::microseconds maximumBranchDuration = std::chrono::hours(1);

static void encodeTexts(const std::vector<std::string> &texts, capnp::List<capnp::Text>::Builder builder)
{
    for (unsigned index = 0; index < builder.size(); ++index) {
        builder.set(index, textOf(texts[index]));
    }
}

static std::vector<std::string> decodeTexts(capnp::List<capnp::Text>::Reader reader)
{
    std::vector<std::string> texts;
    texts.reserve(reader.size());
    for (const auto text : reader) {
        texts.push_back(stringOf(text));
    }
    return texts;
}

void encodeBranchRequest(const branch_request &request, Schema::BranchRequest::Builder builder)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(request.timeRemaining);
    builder.setRequestId(textOf(request.requestId));
    builder.setService(textOf(request.service));
    builder.setRoute(textOf(request.route));
    builder.setTeam(textOf(request.team));
    builder.setSnapshot(textOf(request.snapshot));
    builder.setVersion(textOf(request.version));
    builder.setText(textOf(request.text));
    builder.setTraceParent(textOf(request.traceParent));
    builder.setTimeRemainingMicroseconds(static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 0)));
    builder.setIdempotent(request.idempotent);
    encodeTexts(request.shards, builder.initShards(listSize(request.shards)));
    encodeTexts(request.dataCentres, builder.initDataCentres(listSize(request.dataCentres)));
    builder.setConfigurationNumber(request.configurationNumber);
}

branch_request decodeBranchRequest(Schema::BranchRequest::Reader reader)
{
    const auto maximumMicroseconds = static_cast<std::uint64_t>(maximumBranchDuration.count());
    branch_request request;
    request.requestId = stringOf(reader.getRequestId());
    request.service = stringOf(reader.getService());
    request.route = stringOf(reader.getRoute());
    request.team = stringOf(reader.getTeam());
    request.snapshot = stringOf(reader.getSnapshot());
    request.version = stringOf(reader.getVersion());
    request.text = stringOf(reader.getText());
    request.traceParent = stringOf(reader.getTraceParent());
    request.timeRemaining =
        std::chrono::microseconds(std::min(reader.getTimeRemainingMicroseconds(), maximumMicroseconds));
    request.idempotent = reader.getIdempotent();
    request.shards = decodeTexts(reader.getShards());
    request.dataCentres = decodeTexts(reader.getDataCentres());
    request.configurationNumber = reader.getConfigurationNumber();
    return request;
}

void encodeBranchAnswers(const branch_answers &answers, Schema::BranchSink::AnswersParams::Builder builder)
{
    auto answerList = builder.initAnswers(listSize(answers.answers));
    for (unsigned index = 0; index < answerList.size(); ++index) {
        const branch_shard_answer &answer = answers.answers[index];
        answerList[index].setShard(textOf(answer.shard));
        answerList[index].setSnapshot(textOf(answer.snapshot));
        auto items = answerList[index].initItems(listSize(answer.items));
        for (unsigned item = 0; item < items.size(); ++item) {
            items[item].setId(textOf(answer.items[item].id));
            items[item].setScore(answer.items[item].score);
        }
    }
    auto failureList = builder.initFailures(listSize(answers.failures));
    for (unsigned index = 0; index < failureList.size(); ++index) {
        failureList[index].setShard(textOf(answers.failures[index].shard));
        failureList[index].setFailure(static_cast<std::uint8_t>(answers.failures[index].failure));
    }
    builder.setShardRequests(answers.shardRequests);
}

/// Maps a value that this version does not know to a malformed answer. It must not be taken as proof that the request
/// was not executed.
static Backend::attempt_failure decodeFailure(std::uint8_t value)
{
    const auto last = static_cast<std::uint8_t>(Backend::attempt_failure::InvalidResponse);
    return value <= last ? static_cast<Backend::attempt_failure>(value) : Backend::attempt_failure::InvalidResponse;
}

/// Whether the answer can be merged. Items are ordered by score, and a NaN score has no place in that order.
static bool hasOrderedScores(const branch_shard_answer &answer)
{
    return std::none_of(answer.items.begin(), answer.items.end(),
                        [](const Query::result_item &item) { return std::isnan(item.score); });
}

/// Limits on a message: more shards than any snapshot has at the target scale, and more items than any branch sends.
static constexpr unsigned maximumShards = 4096;
static constexpr unsigned maximumItems = 65'536;

static branch_shard_answer decodeAnswer(Schema::BranchShardAnswer::Reader reader, unsigned itemsLeft)
{
    branch_shard_answer answer;
    answer.shard = stringOf(reader.getShard());
    answer.snapshot = stringOf(reader.getSnapshot());
    for (const auto item : checkLength(reader.getItems(), itemsLeft, "items")) {
        answer.items.push_back({stringOf(item.getId()), item.getScore()});
    }
    return answer;
}

branch_answers decodeBranchAnswers(Schema::BranchSink::AnswersParams::Reader reader)
{
    branch_answers answers;
    unsigned itemsLeft = maximumItems;
    for (const auto encoded : checkLength(reader.getAnswers(), maximumShards, "answers")) {
        branch_shard_answer answer = decodeAnswer(encoded, itemsLeft);
        itemsLeft -= static_cast<unsigned>(answer.items.size());
        if (hasOrderedScores(answer)) {
            answers.answers.push_back(std::move(answer));
        } else {
            answers.failures.push_back({std::move(answer.shard), Backend::attempt_failure::InvalidResponse});
        }
    }
    for (const auto failure : checkLength(reader.getFailures(), maximumShards, "failures")) {
        answers.failures.push_back({stringOf(failure.getShard()), decodeFailure(failure.getFailure())});
    }
    answers.shardRequests = reader.getShardRequests();
    return answers;
}
} // namespace Wire
