#include "DataPath/PlainFanOut.h"

#include <curl/curl.h>

namespace Bench
{
static std::size_t receive(char *, std::size_t size, std::size_t count, void *bytes)
{
    *static_cast<std::uint64_t *>(bytes) += size * count;
    return size * count;
}

static CURL *makeHandle(const std::string &address, curl_slist *headers, std::uint64_t &bytes)
{
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + address + "/v1/shards/s0/lookup").c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, R"({"query":"q"})");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &bytes);
    return easy;
}

static void finishRound(CURLM *multi)
{
    int running = 1;
    while (running > 0) {
        curl_multi_perform(multi, &running);
        if (running > 0) {
            curl_multi_poll(multi, nullptr, 0, 100, nullptr);
        }
    }
}

std::uint64_t runPlainFanOut(const std::vector<std::string> &addresses, int rounds)
{
    std::uint64_t bytes = 0;
    CURLM *multi = curl_multi_init();
    curl_slist *headers = nullptr;
    for (const char *header : {"Content-Type: application/json", "X-Request-Id: id", "X-Attempt-Id: id.1",
                               "X-Snapshot: snapshot-1", "X-Time-Remaining-Ms: 1000", "Expect:"}) {
        headers = curl_slist_append(headers, header);
    }
    std::vector<CURL *> handles;
    handles.reserve(addresses.size());
    for (const std::string &address : addresses) {
        handles.push_back(makeHandle(address, headers, bytes));
    }
    for (int round = 0; round < rounds; ++round) {
        for (CURL *easy : handles) {
            curl_multi_add_handle(multi, easy);
        }
        finishRound(multi);
        for (CURL *easy : handles) {
            curl_multi_remove_handle(multi, easy);
        }
    }
    for (CURL *easy : handles) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi);
    curl_slist_free_all(headers);
    return bytes;
}
} // namespace Bench
