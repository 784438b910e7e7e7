#pragma once

/// How the stand-in store treats calls.
enum class store_trouble {
    None,
    Refusing, ///< Answers 503; nothing is done.
    Silent, ///< Takes calls and neither carries them out nor answers; watches that wait stay open.
    LosingAnswers, ///< Carries writes out and resets the connection.
};
