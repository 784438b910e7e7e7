#include "CallerRequest.h"
#include "LibPlatform/HttpRequest.h"

#include <cstddef>
#include <cstdint>
#include <string>

/// The first line of the input is the path, the second the request id, the rest the body.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer hands over bytes.
    std::string text(reinterpret_cast<const char *>(data), size);
    const auto takeLine = [&text] {
        const std::size_t end = text.find('\n');
        std::string line = text.substr(0, end);
        text.erase(0, end == std::string::npos ? text.size() : end + 1);
        return line;
    };
    Platform::http_request request;
    request.path = takeLine();
    request.headers["x-request-id"] = takeLine();
    request.body = text;
    static_cast<void>(decodeCallerRequest(request));
    return 0;
}
