#pragma once

namespace Bench
{
/// Whether an operator sends a patch again with the id of its first send, or with a new one (the baseline).
enum class resend_id {
    Kept,
    New,
};
} // namespace Bench
