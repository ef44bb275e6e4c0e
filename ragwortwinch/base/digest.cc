#include "ragwortwinch/base/digest.h"

#include <array>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <fmt/format.h>
#include <memory>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdexcept>
#include <vector>

namespace ragwortwinch {

namespace {

std::string toHex(const unsigned char* bytes, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t index = 0; index < size; ++index) {
        text += digits[bytes[index] >> 4];
        text += digits[bytes[index] & 15];
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), hash.data());
    return toHex(hash.data(), hash.size());
}

std::uint64_t keyedHash64(std::string_view key, std::initializer_list<std::string_view> fields)
{
    static EVP_MAC* const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(
        EVP_MAC_CTX_new(algorithm), &EVP_MAC_CTX_free);
    char digest[] = "SHA256";
    OSSL_PARAM parameters[]
        = {OSSL_PARAM_construct_utf8_string("digest", digest, 0), OSSL_PARAM_construct_end()};
    auto toBytes = [](std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); };
    // An empty key is passed as one byte: OpenSSL takes a null pointer for a key that is set already.
    std::string_view usedKey = key.empty() ? std::string_view("\0", 1) : key;
    bool isOk = context && EVP_MAC_init(context.get(), toBytes(usedKey), usedKey.size(), parameters) == 1;
    for (std::string_view field : fields) {
        std::uint64_t size = boost::endian::native_to_big(static_cast<std::uint64_t>(field.size()));
        isOk = isOk
            && EVP_MAC_update(context.get(), reinterpret_cast<unsigned char*>(&size), sizeof(size)) == 1
            && EVP_MAC_update(context.get(), toBytes(field), field.size()) == 1;
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> mac{};
    std::size_t written = 0;
    isOk = isOk && EVP_MAC_final(context.get(), mac.data(), &written, mac.size()) == 1;
    if (!isOk)
        throw std::runtime_error("OpenSSL has no HMAC-SHA-256; install its default provider");
    std::uint64_t hash = 0;
    std::memcpy(&hash, mac.data(), sizeof(hash));
    return boost::endian::big_to_native(hash);
}

bool constantTimeEquals(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string secureRandomHex(int bytes)
{
    std::vector<unsigned char> buffer(static_cast<std::size_t>(bytes));
    if (RAND_bytes(buffer.data(), bytes) != 1)
        throw std::runtime_error("the operating system gave no random bytes; check its entropy source");
    return toHex(buffer.data(), buffer.size());
}

std::string RandomIds::next()
{
    std::lock_guard<std::mutex> lock(mutex_);
    std::uint64_t high = engine_();
    std::uint64_t low = engine_();
    return fmt::format("{:016x}{:016x}", high, low);
}

} // namespace ragwortwinch
