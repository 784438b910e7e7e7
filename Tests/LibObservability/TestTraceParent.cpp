#include "LibObservability/TraceParent.h"
#include "LibObservability/TraceRecorder.h"

#include <gtest/gtest.h>

using Observability::trace_sampling;

TEST(TraceParent, FormatsParsedHeaderIdentically)
{
    const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    const auto context = Observability::parseTraceParent(header);
    ASSERT_TRUE(context);
    EXPECT_EQ(Observability::formatTraceParent(*context), header);
}

TEST(TraceParent, RejectsMalformedHeaders)
{
    for (const char *header : {"", "00-0-0-01", "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
                               "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                               "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
                               "00-4BF92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}) {
        EXPECT_FALSE(Observability::parseTraceParent(header)) << header;
    }
}

TEST(TraceRecorder, KeepsOnlyTheLatestSampledSpans)
{
    Core::random_engine random(1);
    Observability::trace_recorder recorder(2);
    for (const char *name : {"first", "second", "third"}) {
        recorder.record({Observability::startTrace(random, trace_sampling::Sampled), 0, name, {}, {}, {}});
    }
    recorder.record({Observability::startTrace(random, trace_sampling::NotSampled), 0, "hidden", {}, {}, {}});
    const std::string json = recorder.toJson();
    EXPECT_EQ(json.find("first"), std::string::npos);
    EXPECT_NE(json.find("third"), std::string::npos);
    EXPECT_EQ(json.find("hidden"), std::string::npos);
}
