#pragma once

/// Failure mode of the stand-in store.
enum class store_fault {
    None,
    Refusing, ///< Answers every call with 503 and executes none.
    Silent, ///< Accepts calls but neither executes nor answers them; waiting watches stay open.
    LosingResponses, ///< Executes writes but resets the connection instead of answering.
};
