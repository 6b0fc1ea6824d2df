#include "Digest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace fescue {

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), bytes.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * size);
    for (unsigned int i = 0; i < size; ++i) {
        hex.push_back(digits[bytes[i] >> 4]);
        hex.push_back(digits[bytes[i] & 15]);
    }
    return hex;
}

bool equalDigests(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace fescue
