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
    std::optional<call_outcome> received;
    m_client.start(std::move(call), [&received](call_outcome outcome) { received = std::move(outcome); });
    while (!received) {
        m_client.run(std::chrono::milliseconds(100));
    }
    return std::move(*received);
}
} // namespace Platform
