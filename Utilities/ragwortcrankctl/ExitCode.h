#pragma once

/// The exit codes of ragwortcrankctl, as documented in docs/OPERATING.md.
enum class exit_code {
    Success = 0,
    Failed = 1, ///< The daemon refused or failed for another reason than those below.
    Usage = 2, ///< The command line is not valid.
    Stale = 3, ///< The base number is not the current one.
    Invalid = 4, ///< The document or patch is not valid.
    Unreachable = 5, ///< No daemon answered.
    Unknown = 6, ///< The change may or may not have been accepted.
};
