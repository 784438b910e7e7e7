#include "LibPlatform/ReadSecret.h"

#include <unistd.h>

#include <array>

namespace Platform
{
std::string readSecret(int descriptor)
{
    std::string text;
    std::array<char, 256> buffer {};
    constexpr std::size_t maximumSecretBytes = 4096;
    while (text.size() < maximumSecretBytes) {
        const ssize_t count = ::read(descriptor, buffer.data(), buffer.size());
        if (count <= 0) {
            break;
        }
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.pop_back();
    }
    return text;
}
} // namespace Platform
