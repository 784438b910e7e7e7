#pragma once

namespace Soak
{
/// How a stand-in replica misbehaves.
enum class replica_fault {
    None,
    Slow, ///< Works several times as long.
    Failing, ///< Answers 500, with a digest.
    Hanging, ///< Runs requests and never answers.
    Losing, ///< Runs requests and resets the connection in place of an answer.
    Extra, ///< Sends an answer to an earlier request after the right one, and a refusal once more before the next
           ///< answer.
    Short, ///< Ends the connection within an answer.
    Full, ///< Refuses everything as not run.
};
} // namespace Soak
