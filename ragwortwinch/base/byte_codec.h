// Writes and reads integers and strings of a binary message, without intermediate objects.
//
//     ByteWriter writer;
//     writer.integer<std::uint32_t>(7);
//     writer.count(300);
//     writer.text("e1");
//     ByteReader reader(writer.bytes());
//     std::uint32_t number = reader.integer<std::uint32_t>();
//     std::int64_t count = reader.count();
//     std::string_view name = reader.text();
//     bool isValid = reader.isValid();
//
// Integers are big-endian. Reading beyond the end yields zeros and empty strings and makes the reader
// invalid. Not thread-safe.
#pragma once

#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>

namespace ragwortwinch {

class ByteWriter {
public:
    template <typename Integer> void integer(Integer value)
    {
        Integer ordered = boost::endian::native_to_big(value);
        char bytes[sizeof(Integer)];
        std::memcpy(bytes, &ordered, sizeof(Integer));
        bytes_.append(bytes, sizeof(Integer));
    }
    // Writes a number of at least 0 in as few bytes as it needs, seven bits in each; smaller ones become 0.
    void count(std::int64_t value)
    {
        std::uint64_t left = value > 0 ? static_cast<std::uint64_t>(value) : 0;
        for (; left >= countContinues; left >>= countBits)
            bytes_ += static_cast<char>(left | countContinues);
        bytes_ += static_cast<char>(left);
    }
    // Texts longer than 4 GB are cut.
    void text(std::string_view value)
    {
        value = value.substr(0, std::numeric_limits<std::uint32_t>::max());
        integer(static_cast<std::uint32_t>(value.size()));
        bytes_ += value;
    }
    // Text of at most 255 bytes; longer ones are cut.
    void shortText(std::string_view value)
    {
        value = value.substr(0, std::numeric_limits<std::uint8_t>::max());
        integer(static_cast<std::uint8_t>(value.size()));
        bytes_ += value;
    }
    const std::string& bytes() const { return bytes_; }

    static constexpr int countBits = 7;
    static constexpr std::uint64_t countContinues = 0x80;

private:
    std::string bytes_;
};

class ByteReader {
public:
    // `bytes` must outlive the reader and the views that it returns.
    explicit ByteReader(std::string_view bytes)
        : bytes_(bytes)
    {
    }
    template <typename Integer> Integer integer()
    {
        Integer value = 0;
        std::string_view field = take(sizeof(Integer));
        if (field.size() == sizeof(Integer))
            std::memcpy(&value, field.data(), sizeof(Integer));
        return boost::endian::big_to_native(value);
    }
    std::int64_t count()
    {
        std::uint64_t value = 0;
        // More bits than a number of at least 0 has.
        constexpr int maxBits = 63;
        for (int shift = 0; shift < maxBits; shift += ByteWriter::countBits) {
            std::uint64_t byte = integer<std::uint8_t>();
            value |= (byte & ~ByteWriter::countContinues) << shift;
            if (byte < ByteWriter::countContinues)
                return static_cast<std::int64_t>(value);
        }
        isValid_ = false;
        return 0;
    }
    std::string_view text() { return take(integer<std::uint32_t>()); }
    std::string_view shortText() { return take(integer<std::uint8_t>()); }
    bool isAtEnd() const { return bytes_.empty() || !isValid_; }
    bool isValid() const { return isValid_; }

private:
    std::string_view take(std::size_t size)
    {
        if (size > bytes_.size()) {
            isValid_ = false;
            bytes_ = {};
            return {};
        }
        std::string_view field = bytes_.substr(0, size);
        bytes_.remove_prefix(size);
        return field;
    }

    std::string_view bytes_;
    bool isValid_ = true;
};

} // namespace ragwortwinch
