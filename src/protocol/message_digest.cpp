#include "protocol/message_digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <array>

namespace anisehold {

std::string message_authentication_code(std::string_view key, std::string_view message) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(), &length);
    return {reinterpret_cast<const char*>(digest.data()), kMacBytes};
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t digest64(std::string_view data) {
    return XXH3_64bits(data.data(), data.size());
}

std::uint64_t digest64(std::string_view data, std::uint64_t seed) {
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string to_hex(std::string_view bytes) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0FU]);
    }
    return text;
}

}  // namespace anisehold
