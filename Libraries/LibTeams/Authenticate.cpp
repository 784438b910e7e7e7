#include "LibTeams/Authenticate.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibCore/Verify.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>

namespace Teams
{
std::string hashKey(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    VERIFY(EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr) == 1);
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (unsigned int index = 0; index < length; ++index) {
        text += digits[digest[index] >> 4U];
        text += digits[digest[index] & 15U];
    }
    return text;
}

bool secretsEqual(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<std::string> findTeam(const Configuration::configuration_document &document, std::string_view key)
{
    if (key.empty()) {
        return std::nullopt;
    }
    const std::string hash = hashKey(key);
    for (const auto &[name, team] : document.teams) {
        if (secretsEqual(team.keyHash, hash)) {
            return name;
        }
    }
    return std::nullopt;
}
} // namespace Teams
