#include "LibPlatform/PistacheConnection.h"

#include "LibPlatform/ConnectionState.h"
#include "LibPlatform/HttpResponse.h"

#include <exception>
#include <utility>

namespace Platform
{
namespace
{
/// A header with an arbitrary name. Pistache writes only typed headers; those added with addRaw() are never sent.
class named_header final : public Pistache::Http::Header::Header
{
public:
    named_header(std::string headerName, std::string value)
        : m_name(std::move(headerName))
        , m_value(std::move(value))
    {
    }

    const char *name() const override
    {
        return m_name.c_str();
    }

    void write(std::ostream &stream) const override
    {
        stream << m_value;
    }

    std::uint64_t hash() const override
    {
        return std::hash<std::string>()(m_name);
    }

private:
    std::string m_name;
    std::string m_value;
};
} // namespace

pistache_connection::pistache_connection(Pistache::Http::ResponseWriter writer, std::shared_ptr<connection_state> state)
    : m_writer(std::move(writer))
    , m_state(std::move(state))
{
}

void pistache_connection::send(const http_response &response)
{
    using Pistache::Http::ConnectionControl;
    // Held until the response is queued, so that the response to a later request is queued behind it.
    const std::scoped_lock lock(m_state->mutex);
    m_state->answering = false;
    try {
        Pistache::Http::Header::Collection &headers = m_writer.headers();
        for (const auto &[name, value] : response.headers) {
            headers.add(std::make_shared<named_header>(name, value));
        }
        headers.add(std::make_shared<named_header>("Content-Type", response.contentType));
        headers.add<Pistache::Http::Header::Connection>(m_state->closing ? ConnectionControl::Close
                                                                         : ConnectionControl::KeepAlive);
        m_writer.send(static_cast<Pistache::Http::Code>(response.status), response.body);
    } catch (const std::exception &) {
        // Pistache throws when the caller has closed its connection; the response cannot be delivered.
        return;
    }
}
} // namespace Platform
