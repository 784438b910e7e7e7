#include "Processes/CallerLoad.h"
#include "Processes/ChildProcess.h"
#include "Processes/FreePort.h"
#include "Processes/TestFleet.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <numeric>
#include <thread>

using namespace std::chrono_literals;

namespace
{
struct command_result {
    int exitCode = -1;
    std::string output;
};

struct operator_commands : testing::Test {
    Processes::test_fleet fleet {{.replicasPerShard = 6, .daemonFlags = {}}};
    std::string folder;

    void SetUp() override
    {
        std::string pattern = std::filesystem::temp_directory_path() / "operator-commands-XXXXXX";
        ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
        folder = pattern;
    }

    void TearDown() override
    {
        std::filesystem::remove_all(folder);
    }

    /// Runs a command with a dead daemon first in its list.
    command_result run(std::vector<std::string> arguments, const std::string &key = "test-operator-key") const
    {
        const std::string log = folder + "/output";
        std::filesystem::remove(log);
        arguments.push_back("--daemon=127.0.0.1:" + std::to_string(Processes::findFreePort()) + ","
                            + fleet.daemonAddress(1));
        Processes::child_process command("Utilities/ragwortcrankctl/ragwortcrankctl", arguments,
                                         {"RAGWORTCRANK_OPERATOR_KEY=" + key}, log);
        command_result result;
        result.exitCode = command.waitForExit(30s).value_or(-1);
        std::ifstream file(log);
        result.output.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
        return result;
    }

    /// Waits until the rollout of the service "search" is in one of these states, and returns the report.
    std::string waitForRollout(const std::vector<std::string> &states, Core::duration longest) const
    {
        const auto until = std::chrono::steady_clock::now() + longest;
        std::string report;
        while (std::chrono::steady_clock::now() < until) {
            report = run({"rollout", "status", "search", "--output=json"}).output;
            for (const std::string &state : states) {
                if (report.find("\"state\":\"" + state + "\"") != std::string::npos) {
                    return report;
                }
            }
            std::this_thread::sleep_for(100ms);
        }
        return report;
    }

    std::string writeFile(const std::string &text) const
    {
        std::ofstream(folder + "/patch.json") << text;
        return folder + "/patch.json";
    }

    /// Gives some replicas another version, which fails.
    void addBadVersion()
    {
        boost::json::object replicas;
        for (const std::string &name : fleet.replicaNames()) {
            if (name.back() >= '3') {
                replicas[name] = boost::json::object {{"version", "v2"}};
                fleet.setBackendFaults(name, {{"failing", true}});
            }
        }
        const boost::json::object service {{"replicas", replicas}};
        ASSERT_EQ(fleet.patch(0, 1, "1-versions", {{"services", boost::json::object {{"search", service}}}}), 200);
        ASSERT_TRUE(fleet.waitForNumber(2, 7s));
    }

    /// Starts a rollout of the bad version and expects that it is taken back and gets no new work.
    void expectBadVersionIsTakenBack(Processes::caller_load &load) const
    {
        ASSERT_EQ(run({"rollout", "start", "search", "v2", "--deadline_in=30"}).exitCode, 0);
        const std::string bad = waitForRollout({"bad", "taken_back"}, 20s);
        EXPECT_NE(bad.find("\"new_errors\":"), std::string::npos) << bad;
        std::this_thread::sleep_for(3s);
        static_cast<void>(load.take());
        std::this_thread::sleep_for(1s);
        const Processes::load_tally later = load.take();
        EXPECT_GT(later.count("answered"), 0U);
        EXPECT_EQ(later.outcomes.size(), 1U) << "new work went to it 3 s after the verdict: " << later.reasonText();
        const std::string closed = waitForRollout({"taken_back", "done"}, 7s);
        EXPECT_NE(closed.find("\"state\":\"taken_back\""), std::string::npos) << closed;
    }
};
} // namespace

TEST_F(operator_commands, ChangeIsMadeAndWaitedForWithADeadDaemonFirst)
{
    const std::string dataCentre(fleet.document().at("data_centres").as_object().begin()->key());
    EXPECT_EQ(run({"data-centre", "out", dataCentre}).output, "change 2 accepted\n");
    EXPECT_EQ(run({"change", "wait", "2", "--wait_seconds=7"}).exitCode, 0);
    EXPECT_NE(run({"data-centre", "list", "--output=json"}).output.find("\"out\":true"), std::string::npos);
    const command_result report = run({"change", "status", "2", "--output=json"});
    EXPECT_NE(report.output.find("\"data_centres_out\":[\"" + dataCentre + "\"]"), std::string::npos) << report.output;
    EXPECT_EQ(run({"change", "wait", "3", "--wait_seconds=0"}).exitCode, 8) << "nobody made change 3";
}

TEST_F(operator_commands, ExitCodesTellWhatHappened)
{
    const std::string patch = writeFile(R"({"tier":{"hedge_budget":0.01}})");
    EXPECT_EQ(run({"config", "patch", patch, "--base=0", "--patch_id=0-other"}).exitCode, 3);
    EXPECT_EQ(run({"config", "patch", patch, "--base=1", "--patch_id=1-a"}).exitCode, 0);
    EXPECT_EQ(run({"config", "patch", patch, "--base=1", "--patch_id=1-a"}).output, "change 2 accepted\n");
    const std::string broken = writeFile(R"({"tier":{"hedge_budget":7,"colour":1}})");
    const command_result invalid = run({"config", "patch", broken, "--base=2"});
    EXPECT_EQ(invalid.exitCode, 4);
    EXPECT_NE(invalid.output.find("/tier/hedge_budget: "), std::string::npos);
    EXPECT_NE(invalid.output.find("/tier/colour: "), std::string::npos);
    EXPECT_EQ(run({"team", "set-share", "nobody", "0.1"}).exitCode, 2);
    EXPECT_EQ(run({"status"}, "another-operator-key").exitCode, 1);
    const command_result flags = run({"status", "--colour=red", "--retry=often"});
    EXPECT_EQ(flags.exitCode, 2);
    EXPECT_NE(flags.output.find("--colour: "), std::string::npos);
    EXPECT_NE(flags.output.find("--retry: "), std::string::npos);
    fleet.setStoreFaults({{"down", true}});
    EXPECT_EQ(run({"config", "patch", patch, "--base=2"}).exitCode, 1) << "certainly not written";
}

TEST_F(operator_commands, SilentStoreAfterTheReadIsUnknownAndARepeatSettlesIt)
{
    const std::string patch = writeFile(R"({"tier":{"hedge_budget":0.01}})");
    fleet.setStoreFaults({{"silent", true}});
    EXPECT_EQ(run({"config", "patch", patch, "--base=1", "--patch_id=1-s"}).exitCode, 1) << "it was never read";
    fleet.setStoreFaults({{"silent", false}, {"lose_replies", 1}});
    EXPECT_EQ(run({"config", "patch", patch, "--base=1", "--patch_id=1-s"}).exitCode, 0);
    EXPECT_EQ(run({"config", "patch", patch, "--base=1", "--patch_id=1-s"}).output, "change 2 accepted\n");
    EXPECT_TRUE(fleet.waitForNumber(2, 7s));
}

TEST_F(operator_commands, ABadVersionIsTakenBack)
{
    ASSERT_NO_FATAL_FAILURE(addBadVersion());
    Processes::caller_load load({fleet.daemonAddress(0), fleet.daemonAddress(1), fleet.daemonAddress(2)},
                                fleet.teamKey(), 4);
    expectBadVersionIsTakenBack(load);
}

TEST_F(operator_commands, ABadVersionIsTakenBackAndAGoodOneEndsDone)
{
    ASSERT_NO_FATAL_FAILURE(addBadVersion());
    Processes::caller_load load({fleet.daemonAddress(0), fleet.daemonAddress(1), fleet.daemonAddress(2)},
                                fleet.teamKey(), 4);
    ASSERT_NO_FATAL_FAILURE(expectBadVersionIsTakenBack(load));

    fleet.setAllBackendFaults({{"failing", false}});
    ASSERT_EQ(run({"rollout", "start", "search", "v2", "--deadline_in=6"}).exitCode, 0);
    const std::string done = waitForRollout({"done", "bad", "taken_back"}, 15s);
    EXPECT_NE(done.find("\"state\":\"done\""), std::string::npos) << done;
}

TEST_F(operator_commands, AccountsHoldAllThatWasDrawnAfterAPlannedStop)
{
    Processes::caller_load load({fleet.daemonAddress(0), fleet.daemonAddress(1), fleet.daemonAddress(2)},
                                fleet.teamKey(), 4);
    std::this_thread::sleep_for(2s);
    const Processes::load_tally tally = load.stop();
    const std::uint64_t sent =
        std::accumulate(tally.outcomes.begin(), tally.outcomes.end(), std::uint64_t {0},
                        [](std::uint64_t sum, const auto &outcome) { return sum + outcome.second; });
    ASSERT_GT(tally.count("answered"), 0U);
    for (int daemon = 0; daemon < 3; ++daemon) {
        fleet.daemon(daemon).signal(SIGTERM);
    }
    for (int daemon = 0; daemon < 3; ++daemon) {
        ASSERT_TRUE(fleet.daemon(daemon).waitForExit(30s));
    }
    fleet.restartDaemon(1);
    ASSERT_TRUE(fleet.waitUntilReady(1));
    // The daemon reads the pages when it is asked, and shows them the next time.
    std::uint64_t held = 0;
    for (int attempt = 0; attempt < 20 && held == 0; ++attempt) {
        std::this_thread::sleep_for(200ms);
        const boost::json::value report = boost::json::parse(run({"accounts", "--output=json"}).output);
        if (const boost::json::value *team = report.at("teams").as_object().if_contains("team")) {
            held = team->at("queries").to_number<std::uint64_t>() + team->at("refused").to_number<std::uint64_t>();
        }
    }
    EXPECT_EQ(held, sent);
}
