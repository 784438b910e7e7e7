#include "LibConfiguration/Adoption.h"
#include "LibConfiguration/ChangeReport.h"
#include "LibConfiguration/ConfigurationDocument.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

using Configuration::change_state;

TEST(Adoption, JoinOfNumbersIsCommutativeAssociativeAndIdempotent)
{
    EXPECT_TRUE(rc::check("join is commutative, associative and idempotent",
                          [](std::uint64_t a, std::uint64_t b, std::uint64_t c) {
                              using Configuration::joinNumbers;
                              RC_ASSERT(joinNumbers(a, b) == joinNumbers(b, a));
                              RC_ASSERT(joinNumbers(a, joinNumbers(b, c)) == joinNumbers(joinNumbers(a, b), c));
                              RC_ASSERT(joinNumbers(a, a) == a);
                          }));
    EXPECT_TRUE(rc::check("any order and repetition of offered documents yields the highest number",
                          [](std::vector<std::uint64_t> offers, std::uint64_t start) {
                              std::uint64_t current = start;
                              for (const std::uint64_t offered : offers) {
                                  const std::uint64_t before = current;
                                  current = Configuration::shouldAdopt(current, offered) ? offered : current;
                                  RC_ASSERT(current >= before);
                              }
                              offers.push_back(start);
                              RC_ASSERT(current == *std::max_element(offers.begin(), offers.end()));
                          }));
}

TEST(Adoption, RejectsInvalidOrUnnumberedDocumentFromPeer)
{
    EXPECT_TRUE(Configuration::parseOfferedDocument(R"({"number":3})").findings.empty());
    EXPECT_FALSE(Configuration::parseOfferedDocument(R"({"number":0})").findings.empty());
    EXPECT_FALSE(
        Configuration::parseOfferedDocument(R"({"number":3,"teams":{"t":{"key_hash":"x"}}})").findings.empty());
    EXPECT_FALSE(Configuration::parseOfferedDocument("{").findings.empty());
}

TEST(ChangeReport, ListsLiveVmsThatHaveNotConfirmed)
{
    Configuration::configuration_document document;
    document.number = 5;
    const auto report = Configuration::reportChange(5, document, {{"a", 5}, {"b", 4}, {"c", 6}});
    EXPECT_EQ(report.state, change_state::Accepted);
    EXPECT_EQ(report.missing, std::vector<std::string> {"b"});
    EXPECT_EQ(Configuration::reportChange(4, document, {{"a", 5}, {"b", 4}}).state, change_state::InForce);
    EXPECT_EQ(Configuration::reportChange(6, document, {{"a", 6}}).state, change_state::NotKnown);
    EXPECT_EQ(Configuration::reportChange(5, document, {}).state, change_state::Accepted)
        << "no VM has confirmed the change";
}

TEST(ChangeReport, ReportsDoneOrTakenBackNeverBoth)
{
    Configuration::configuration_document document;
    document.number = 5;
    Configuration::service_settings &service = document.services["s"];
    service.version = "v1";
    service.rollout.emplace();
    service.rollout->toVersion = "v2";
    service.rollout->change = 5;
    const auto stateAt = [&](std::uint64_t other) {
        return Configuration::reportChange(5, document, {{"a", 5}, {"b", other}}).state;
    };
    EXPECT_EQ(stateAt(5), change_state::InForce);
    service.version = "v2";
    EXPECT_EQ(stateAt(5), change_state::Done);
    EXPECT_EQ(stateAt(4), change_state::Accepted) << "a rollout is done only when its change is in force";
    service.version = "v1";
    service.rollout->takenBack = true;
    EXPECT_EQ(stateAt(5), change_state::TakenBack);
}
