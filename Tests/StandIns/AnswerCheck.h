#pragma once

#include <boost/json/object.hpp>

#include <string>

namespace StandIns
{
/// Whether a caller's answer agrees with what the stand-in backend servers hold: every item comes from the answer's
/// snapshot, none is there twice, and there are as many as the shards that the answer says it covers.
[[nodiscard]] bool answerIsRight(const boost::json::object &answer, const std::string &query);
} // namespace StandIns
