#include "Processes/ChildProcess.h"
#include "Processes/FreePort.h"
#include "Processes/TestFleet.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace std::chrono_literals;

namespace
{
struct command_result {
    int exitCode = -1;
    std::string output;
};

struct operator_commands : testing::Test {
    Processes::test_fleet fleet {{}};
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

    std::string writeFile(const std::string &text) const
    {
        std::ofstream(folder + "/patch.json") << text;
        return folder + "/patch.json";
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
