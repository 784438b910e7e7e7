#pragma once

/// When the daemon can read its settings.
enum class settings_delivery {
    AtStart,
    OnRequest, ///< The daemon waits for them until `deliverSettings` is called.
};
