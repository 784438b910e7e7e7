#include "LibPlatform/RequestHandler.h"

#include "LibPlatform/ConnectionState.h"
#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpResponder.h"
#include "LibPlatform/HttpResponse.h"
#include "LibPlatform/PistacheConnection.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <pistache/peer.h>
#include <pistache/transport.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <exception>
#include <optional>
#include <system_error>
#include <utility>

namespace Platform
{
using Pistache::Http::Code;
using Pistache::Http::HttpError;
using Pistache::Http::Private::State;

static constexpr const char *connectionStateKey = "ragwortcrank_connection";
static constexpr std::string_view endOfHeader = "\r\n\r\n";
static constexpr std::size_t maximumHeaderBytes = std::size_t(64) << 10U;
static constexpr int requestHeaderTooLarge = 431;
static constexpr int badRequest = 400;

static std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

static http_request toHttpRequest(const Pistache::Http::Request &request)
{
    http_request converted;
    converted.method = Pistache::Http::methodString(request.method());
    converted.path = request.resource();
    converted.body = request.body();
    for (const auto &[name, header] : request.headers().rawList()) {
        converted.headers[lowerCase(header.name())] = header.value();
    }
    for (auto it = request.query().parameters_begin(); it != request.query().parameters_end(); ++it) {
        converted.parameters[it->first] = it->second;
    }
    return converted;
}

/// Whether the connection must be closed after the response. HTTP/1.1 connections stay open unless the caller requests
/// the close.
static bool mustClose(const Pistache::Http::Request &request)
{
    const auto header = request.headers().tryGet<Pistache::Http::Header::Connection>();
    return header == nullptr ? request.version() != Pistache::Http::Version::Http11
                             : header->control() != Pistache::Http::ConnectionControl::KeepAlive;
}

/// Reads Content-Length from the text of a header; returns nothing if it is absent. Pistache itself treats a value that
/// is not a number as zero, and reserves memory for any length that is stated.
static std::optional<std::uint64_t> readContentLength(const std::string &header)
{
    constexpr std::string_view name = "\r\ncontent-length:";
    const std::string lower = lowerCase(header);
    const std::size_t found = lower.find(name);
    if (found == std::string::npos) {
        return std::nullopt;
    }
    if (lower.find(name, found + 1) != std::string::npos) {
        throw HttpError(badRequest, "Content-Length stands more than once");
    }
    const std::size_t valueStart = found + name.size();
    std::string_view value = std::string_view(lower).substr(valueStart, lower.find("\r\n", valueStart) - valueStart);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
    if (error != std::errc() || end != value.data() + value.size()) {
        throw HttpError(badRequest, "Content-Length is not a number");
    }
    return length;
}

static std::shared_ptr<connection_state> connectionStateOf(const std::shared_ptr<Pistache::Tcp::Peer> &peer)
{
    auto existing = std::static_pointer_cast<connection_state>(peer->tryGetData(connectionStateKey));
    if (existing == nullptr) {
        existing = std::make_shared<connection_state>();
        peer->putData(connectionStateKey, existing);
    }
    return existing;
}

request_handler::request_handler(http_server::handler target, std::size_t maximumRequestBytes)
    : m_target(std::move(target))
    , m_maximumRequestBytes(maximumRequestBytes)
{
}

void request_handler::onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter writer)
{
    const std::shared_ptr<connection_state> state = connectionStateOf(writer.getPeer());
    m_target(toHttpRequest(request), http_responder(std::make_unique<pistache_connection>(std::move(writer), state)));
}

void request_handler::onInput(const char *data, std::size_t size, const std::shared_ptr<Pistache::Tcp::Peer> &peer)
{
    const std::shared_ptr<connection_state> state = connectionStateOf(peer);
    {
        const std::scoped_lock lock(state->mutex);
        state->closing = state->closing || state->answering;
        if (state->closing) {
            return;
        }
    }
    try {
        read({data, size}, peer, state);
    } catch (const HttpError &error) {
        reject(error.code(), error.reason(), peer, state);
    } catch (const std::exception &error) {
        reject(badRequest, error.what(), peer, state);
    }
}

void request_handler::read(std::string_view input, const std::shared_ptr<Pistache::Tcp::Peer> &peer,
                           const std::shared_ptr<connection_state> &state)
{
    const std::shared_ptr<Pistache::Http::RequestParser> parser = getParser(peer);
    while (!input.empty()) {
        input.remove_prefix(state->readingBody ? feedBody(input, *parser, *state) : feedHeader(input, *parser, *state));
        if (!state->readingBody || parser->parse() != State::Done) {
            continue;
        }
        state->readingBody = false;
        {
            const std::scoped_lock lock(state->mutex);
            state->answering = true;
            state->closing = !input.empty() || mustClose(parser->request);
        }
        peer->setIdle(false);
        const Pistache::Http::Request request = std::exchange(parser->request, Pistache::Http::Request());
        parser->reset();
        onRequest(request, Pistache::Http::ResponseWriter(request.version(), transport(), this, peer));
        return;
    }
}

static void feed(std::string_view bytes, Pistache::Http::RequestParser &parser)
{
    if (!parser.feed(bytes.data(), bytes.size())) {
        throw HttpError(Code::Request_Entity_Too_Large, "the request is too large");
    }
}

std::size_t request_handler::feedHeader(std::string_view input, Pistache::Http::RequestParser &parser,
                                        connection_state &state) const
{
    const std::size_t bufferedBytes = state.header.size();
    const std::size_t searchFrom = bufferedBytes < endOfHeader.size() ? 0 : bufferedBytes - endOfHeader.size();
    state.header.append(input);
    const std::size_t end = state.header.find(endOfHeader, searchFrom);
    const std::size_t size = end == std::string::npos ? state.header.size() : end + endOfHeader.size();
    if (size > maximumHeaderBytes) {
        throw HttpError(requestHeaderTooLarge, "the header is too large");
    }
    if (end == std::string::npos) {
        return input.size();
    }
    state.header.resize(size);
    const std::optional<std::uint64_t> length = readContentLength(state.header);
    if (length.value_or(0) > m_maximumRequestBytes) {
        throw HttpError(Code::Request_Entity_Too_Large, "the body is too large");
    }
    state.bodyIsChunked = !length;
    state.bodyBytesLeft = length.value_or(0);
    state.readingBody = true;
    feed(state.header, parser);
    state.header.clear();
    return size - bufferedBytes;
}

std::size_t request_handler::feedBody(std::string_view input, Pistache::Http::RequestParser &parser,
                                      connection_state &state)
{
    const std::size_t consumed = state.bodyIsChunked ? input.size() : std::min(input.size(), state.bodyBytesLeft);
    state.bodyBytesLeft -= state.bodyIsChunked ? 0 : consumed;
    feed(input.substr(0, consumed), parser);
    return consumed;
}

/// Responds to input that is not a valid request. The connection is closed, since the end of that input is unknown.
void request_handler::reject(int status, const std::string &reason, const std::shared_ptr<Pistache::Tcp::Peer> &peer,
                             const std::shared_ptr<connection_state> &state)
{
    {
        const std::scoped_lock lock(state->mutex);
        state->closing = true;
    }
    getParser(peer)->reset();
    http_response response;
    response.status = status;
    response.body = boost::json::serialize(boost::json::object {{"outcome", "not_run"}, {"reason", reason}});
    pistache_connection(Pistache::Http::ResponseWriter(Pistache::Http::Version::Http11, transport(), this, peer), state)
        .send(response);
}
} // namespace Platform
