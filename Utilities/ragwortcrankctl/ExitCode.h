#pragma once

/// The exit codes of ragwortcrankctl, as documented in docs/OPERATIONS.md.
enum class exit_code {
    Success = 0,
    Failed = 1, ///< The daemon refused or failed for another reason than those below; nothing was changed.
    Usage = 2, ///< The command line is not valid, or names something that does not exist.
    Stale = 3, ///< The base number is not the current one; nothing was changed.
    Invalid = 4, ///< The document or patch is not valid; nothing was changed.
    Unreachable = 5, ///< No daemon answered; nothing was changed.
    Unknown = 6, ///< The change may or may not have been accepted.
    TakenBack = 7, ///< The change that was waited for was taken back.
    TimedOut = 8, ///< The change that was waited for did not get so far in time.
};
