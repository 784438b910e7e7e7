#include "LibPlatform/HttpResponder.h"

#include "LibCore/Verify.h"
#include "LibPlatform/HttpResponse.h"

#include <utility>

namespace Platform
{
http_responder::http_responder(std::unique_ptr<connection> target)
    : m_connection(std::move(target))
{
}

http_responder::http_responder(http_responder &&) noexcept = default;
http_responder &http_responder::operator=(http_responder &&) noexcept = default;
http_responder::~http_responder() = default;

void http_responder::respond(const http_response &response)
{
    VERIFY(m_connection != nullptr);
    const std::unique_ptr<connection> target = std::move(m_connection);
    target->send(response);
}
} // namespace Platform
