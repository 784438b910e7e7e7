#include "LibCore/Try.h"
#include "LibTeams/Accounts.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <utility>

namespace json = boost::json;

namespace Teams
{
static json::object encodeAccounts(const std::map<std::string, team_account> &accounts)
{
    json::object object;
    for (const auto &[team, account] : accounts) {
        object[team] = json::object {{"queries", account.queries},
                                     {"refused", account.refused},
                                     {"shard_requests", account.shardRequests},
                                     {"extra_shard_requests", account.extraShardRequests}};
    }
    return object;
}

std::string encodeTotals(const std::map<std::string, team_account> &totals)
{
    return json::serialize(json::object {{"teams", encodeAccounts(totals)}});
}

std::string encodePage(const account_page &page)
{
    json::object rows;
    for (const auto &[incarnation, row] : page.rows) {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(row.writtenAt.time_since_epoch());
        rows[std::to_string(incarnation)] =
            json::object {{"written_at", seconds.count()}, {"teams", encodeAccounts(row.teams)}};
    }
    return json::serialize(json::object {{"past", encodeAccounts(page.past)}, {"rows", std::move(rows)}});
}

static Core::error malformed(const std::string &what)
{
    return {Core::error_code::InvalidInput, "malformed accounts object: invalid " + what};
}

static Core::result<std::uint64_t> readCount(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    const std::int64_t *number = value == nullptr ? nullptr : value->if_int64();
    if (number == nullptr || *number < 0) {
        return malformed(std::string(name));
    }
    return static_cast<std::uint64_t>(*number);
}

static Core::result<std::map<std::string, team_account>> decodeAccounts(const json::object &parent,
                                                                        std::string_view name)
{
    const json::value *value = parent.if_contains(name);
    if (value == nullptr || !value->is_object()) {
        return malformed(std::string(name));
    }
    std::map<std::string, team_account> accounts;
    for (const auto &[team, member] : value->get_object()) {
        const json::object *object = member.if_object();
        if (object == nullptr) {
            return malformed("team");
        }
        team_account &account = accounts[std::string(team)];
        account.queries = TRY(readCount(*object, "queries"));
        account.refused = TRY(readCount(*object, "refused"));
        account.shardRequests = TRY(readCount(*object, "shard_requests"));
        account.extraShardRequests = TRY(readCount(*object, "extra_shard_requests"));
    }
    return accounts;
}

static Core::result<void> decodeRow(std::string_view name, const json::value &value, account_page &page)
{
    std::uint64_t incarnation = 0;
    const char *end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data(), end, incarnation);
    const json::object *object = value.if_object();
    if (parsed.ec != std::errc() || parsed.ptr != end || object == nullptr) {
        return malformed("row");
    }
    account_row &row = page.rows[incarnation];
    row.teams = TRY(decodeAccounts(*object, "teams"));
    constexpr std::uint64_t latestTime = 9'000'000'000;
    const std::uint64_t seconds = TRY(readCount(*object, "written_at"));
    if (seconds > latestTime) {
        return malformed("written_at");
    }
    row.writtenAt = Core::wall_time(std::chrono::seconds(seconds));
    return Core::success();
}

Core::result<account_page> decodePage(std::string_view text)
{
    account_page page;
    if (text.empty()) {
        return page;
    }
    boost::system::error_code error;
    const json::value value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object()) {
        return malformed("JSON");
    }
    page.past = TRY(decodeAccounts(value.get_object(), "past"));
    const json::value *rows = value.get_object().if_contains("rows");
    if (rows == nullptr || !rows->is_object()) {
        return malformed("rows");
    }
    for (const auto &[name, row] : rows->get_object()) {
        TRY(decodeRow(name, row, page));
    }
    return page;
}
} // namespace Teams
