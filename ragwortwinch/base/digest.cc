#include "ragwortwinch/base/digest.h"

#include <array>
#include <fmt/format.h>
#include <openssl/crypto.h>
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
