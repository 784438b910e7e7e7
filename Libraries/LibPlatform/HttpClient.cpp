#include "LibPlatform/HttpClient.h"

#include "LibCore/Verify.h"
#include "LibHttp/HeaderSyntax.h"
#include "LibHttp/StatusKind.h"
#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpCall.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace Platform
{
namespace
{
struct transfer {
    std::uint64_t number = 0;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string body;
    http_response response;
    response_headers responseHeaders = response_headers::Kept;
    bool isInHead = false; ///< After a status line, until the empty line that ends its head.
    bool hasInvalidHeader = false;
    http_client::completion done;
};

/// Larger than any response of the store or of a backend server.
constexpr std::size_t maximumBodyBytes = 16'777'216;

std::size_t receiveBody(char *data, std::size_t size, std::size_t count, void *target)
{
    std::string &body = static_cast<transfer *>(target)->response.body;
    if (body.size() + size * count > maximumBodyBytes) {
        return 0; // Fails the transfer.
    }
    body.append(data, size * count);
    return size * count;
}

void keepField(http_response &response, std::string_view fieldName, std::string_view value)
{
    std::string name(fieldName);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    const std::size_t first = value.find_first_not_of(" \t");
    const std::size_t last = value.find_last_not_of(" \t\r\n");
    value = first == std::string_view::npos ? std::string_view() : value.substr(first, last - first + 1);
    response.headers[std::move(name)] = value;
}

/// Receives a line of a head or of a trailer: the status line, a field or the empty line at the end.
std::size_t receiveHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    transfer &received = *static_cast<transfer *>(target);
    const std::string_view line(data, size * count);
    if (!received.isInHead && line.starts_with("HTTP/")) {
        received.isInHead = true;
        received.response.headers.clear(); // Those of an interim response.
        return line.size();
    }
    if (line == "\r\n" || line == "\n") {
        received.isInHead = false;
        return line.size();
    }
    // libcurl passes on a folded line by itself. It begins with a blank, which no name may hold.
    const std::string_view name = line.substr(0, line.find(':'));
    if (name.size() == line.size() || !Http::isFieldName(name)) {
        received.hasInvalidHeader = true;
        return 0; // Fails the transfer.
    }
    // Fields of a trailer are no part of the head (RFC 9110, section 6.5.1).
    if (received.responseHeaders == response_headers::Kept && received.isInHead) {
        keepField(received.response, name, line.substr(name.size() + 1));
    }
    return line.size();
}

call_failure classify(CURL *easy, CURLcode code, unsigned status)
{
    if (code == CURLE_OK) {
        const bool isFinal = Http::statusKindOf(status) == Http::status_kind::Final;
        return isFinal ? call_failure::None : call_failure::InvalidResponse;
    }
    long requestBytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    if (requestBytes == 0) {
        return call_failure::ConnectFailed;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? call_failure::TimedOut : call_failure::ConnectionLost;
}
} // namespace

struct http_client::implementation {
    CURLM *multi = nullptr;
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, std::unique_ptr<transfer>> transfers;
    std::vector<CURL *> idleHandles; ///< Reused, since creating a handle costs more than sending a request with it.

    CURL *takeHandle()
    {
        if (idleHandles.empty()) {
            return curl_easy_init();
        }
        CURL *easy = idleHandles.back();
        idleHandles.pop_back();
        curl_easy_reset(easy);
        return easy;
    }

    std::unique_ptr<transfer> detach(std::uint64_t number)
    {
        const auto found = transfers.find(number);
        if (found == transfers.end()) {
            return nullptr;
        }
        std::unique_ptr<transfer> ended = std::move(found->second);
        transfers.erase(found);
        curl_multi_remove_handle(multi, ended->easy);
        curl_slist_free_all(ended->headers);
        constexpr std::size_t maximumIdleHandles = 1024;
        if (idleHandles.size() < maximumIdleHandles) {
            idleHandles.push_back(ended->easy);
        } else {
            curl_easy_cleanup(ended->easy);
        }
        return ended;
    }

    void complete()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            transfer *finished = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &finished);
            long status = 0;
            curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
            call_outcome outcome;
            outcome.failure = finished->hasInvalidHeader
                ? call_failure::InvalidResponse
                : classify(message->easy_handle, message->data.result, static_cast<unsigned>(status));
            finished->response.status = static_cast<int>(status);
            const std::unique_ptr<transfer> ended = detach(finished->number);
            outcome.response = std::move(ended->response);
            ended->done(std::move(outcome));
        }
    }
};

http_client::http_client(long connectionsPerHost)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->multi = curl_multi_init();
    VERIFY(m_implementation->multi != nullptr);
    constexpr long maximumIdleConnections = 4096;
    curl_multi_setopt(m_implementation->multi, CURLMOPT_MAX_HOST_CONNECTIONS, connectionsPerHost);
    curl_multi_setopt(m_implementation->multi, CURLMOPT_MAXCONNECTS, maximumIdleConnections);
    curl_multi_setopt(m_implementation->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

http_client::~http_client()
{
    while (!m_implementation->transfers.empty()) {
        m_implementation->detach(m_implementation->transfers.begin()->first);
    }
    for (CURL *easy : m_implementation->idleHandles) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_implementation->multi);
}

/// Prevents the reuse of connections that exceed an age. libcurl compares ages in whole seconds, rounded down.
static void limitConnectionAge(CURL *easy, Core::duration maximumAge)
{
    const auto limit = std::chrono::floor<std::chrono::seconds>(maximumAge) - std::chrono::seconds(1);
    if (limit < std::chrono::seconds(1)) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        return;
    }
    curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, static_cast<long>(limit.count()));
}

static void configure(transfer &started, const http_call &call)
{
    CURL *easy = started.easy;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &started);
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY,
                     ""); // Addresses are plain IP; proxy variables in the environment must not apply.
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receiveBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &started);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, receiveHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &started);
    if (call.timeout > Core::duration::zero()) {
        const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(call.timeout);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(rounded.count()));
    }
    if (call.maximumConnectionAge) {
        limitConnectionAge(easy, *call.maximumConnectionAge);
    }
    if (call.reuse == connection_reuse::Forbidden) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (call.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, started.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(started.body.size()));
    }
    for (const std::string &header : call.headers) {
        started.headers = curl_slist_append(started.headers, header.c_str());
    }
    started.headers = curl_slist_append(started.headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, started.headers);
}

std::uint64_t http_client::start(http_call call, completion done)
{
    auto started = std::make_unique<transfer>();
    started->number = m_implementation->nextNumber++;
    started->easy = m_implementation->takeHandle();
    VERIFY(started->easy != nullptr);
    started->body = std::move(call.body);
    started->responseHeaders = call.responseHeaders;
    started->done = std::move(done);
    configure(*started, call);
    curl_multi_add_handle(m_implementation->multi, started->easy);
    const std::uint64_t number = started->number;
    m_implementation->transfers[number] = std::move(started);
    return number;
}

void http_client::cancel(std::uint64_t number)
{
    m_implementation->detach(number);
}

void http_client::run(Core::duration maximumWait)
{
    int running = 0;
    curl_multi_perform(m_implementation->multi, &running);
    m_implementation->complete();
    const auto wait = std::max(std::chrono::ceil<std::chrono::milliseconds>(maximumWait), std::chrono::milliseconds(0));
    curl_multi_poll(m_implementation->multi, nullptr, 0, static_cast<int>(wait.count()), nullptr);
    curl_multi_perform(m_implementation->multi, &running);
    m_implementation->complete();
}

void http_client::wakeUp()
{
    curl_multi_wakeup(m_implementation->multi);
}
} // namespace Platform
