// Hashes and identifiers.
//
//     sha256Hex("abc");             // 64 hexadecimal digits
//     RandomIds ids(seed); ids.next();   // 32 hexadecimal digits
#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <string_view>

namespace ragwortwinch {

// Returns the SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

// Compares in time that depends on the lengths only.
bool constantTimeEquals(std::string_view, std::string_view);

// Returns `bytes` random bytes from the operating system as hexadecimal digits, for keys.
std::string secureRandomHex(int bytes);

// Makes identifiers that do not repeat; for names of attempts, never for secrets. Thread-safe.
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
