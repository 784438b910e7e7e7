#pragma once

/// Whether a server closes its connection after a response.
enum class after_response {
    KeepOpen,
    Close,
};
