#include "LibConfiguration/MergePatch.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace json = boost::json;

namespace
{
/// One row of the example table in RFC 7396, appendix A.
struct merge_example {
    const char *original;
    const char *patch;
    const char *result;
};
} // namespace

TEST(MergePatch, MatchesExamplesOfRfc7396)
{
    const merge_example examples[] = {
        {R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
        {R"({"a":"b"})", R"({"a":null})", R"({})"},
        {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
        {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"c"})", R"({"a":["b"]})", R"({"a":["b"]})"},
        {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
        {R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})"},
        {R"(["a","b"])", R"(["c","d"])", R"(["c","d"])"},
        {R"({"a":"b"})", R"(["c"])", R"(["c"])"},
        {R"({"a":"foo"})", "null", "null"},
        {R"({"a":"foo"})", R"("bar")", R"("bar")"},
        {R"({"e":null})", R"({"a":1})", R"({"e":null,"a":1})"},
        {"[1,2]", R"({"a":"b","c":null})", R"({"a":"b"})"},
        {"{}", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"},
    };
    for (const merge_example &example : examples) {
        json::value merged = json::parse(example.original);
        Configuration::mergePatch(merged, json::parse(example.patch));
        EXPECT_EQ(merged, json::parse(example.result)) << example.original << " with " << example.patch;
    }
}

static json::value generateValue(int depth)
{
    const int kind = *rc::gen::inRange(0, depth > 0 ? 4 : 3);
    if (kind == 0) {
        return nullptr;
    }
    if (kind == 1) {
        return *rc::gen::inRange(0, 3);
    }
    if (kind == 2) {
        return json::array {*rc::gen::inRange(0, 3), nullptr};
    }
    json::object object;
    const int members = *rc::gen::inRange(0, 4);
    for (int index = 0; index < members; ++index) {
        object[std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)))] = generateValue(depth - 1);
    }
    return object;
}

RC_GTEST_PROP(MergePatch, SecondApplicationOfSamePatchChangesNothing, ())
{
    json::value once = generateValue(3);
    const json::value patch = generateValue(3);
    Configuration::mergePatch(once, patch);
    json::value twice = once;
    Configuration::mergePatch(twice, patch);
    RC_ASSERT(json::serialize(twice) == json::serialize(once));
}
