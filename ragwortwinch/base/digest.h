// Hashes, constant-time comparison and random identifiers.
//
//     sha256Hex("abc");             // 64 hexadecimal digits
//     RandomIds ids(seed); ids.next();   // 32 hexadecimal digits
#pragma once

#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <random>
#include <string>
#include <string_view>

namespace ragwortwinch {

// Returns the SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

// Returns the first 64 bits of an HMAC-SHA-256 over `fields` with their lengths, so that no two lists of
// fields are the same bytes. Throws std::runtime_error if OpenSSL lacks the algorithm.
std::uint64_t keyedHash64(std::string_view key, std::initializer_list<std::string_view> fields);

// Compares in a time that depends only on the lengths, so that timing reveals nothing about a secret.
bool constantTimeEquals(std::string_view, std::string_view);

// Returns `bytes` cryptographically secure random bytes as hexadecimal digits, for keys. Throws
// std::runtime_error when there is no entropy source.
std::string secureRandomHex(int bytes);

// Generates pseudo-random 128-bit identifiers, which practically never repeat. For ids such as those of
// attempts, never for secrets: the sequence follows from the seed. Thread-safe.
class RandomIds {
public:
    explicit RandomIds(std::uint64_t seed)
        : engine_(seed)
    {
    }
    std::string next();

private:
    std::mutex mutex_;
    std::mt19937_64 engine_;
};

} // namespace ragwortwinch
