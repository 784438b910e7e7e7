#include "LibPlatform/BlockingHttpClient.h"

#include "LibCore/Verify.h"
#include "LibPlatform/HttpCall.h"

#include <optional>
#include <utility>

namespace Platform
{
blocking_http_client::blocking_http_client()
    : m_client(1)
{
}

call_outcome blocking_http_client::send(http_call call)
{
    VERIFY(call.timeout > Core::duration::zero());
    std::optional<call_outcome> ended;
    m_client.start(std::move(call), [&ended](call_outcome outcome) { ended = std::move(outcome); });
    while (!ended) {
        m_client.run(std::chrono::milliseconds(100));
    }
    return std::move(*ended);
}
} // namespace Platform
