// Buffers for the input of a connection that charge their capacity to it before they allocate.
//
//     boost::beast::basic_flat_buffer<ChargedAllocator<char>> buffer{ChargedAllocator<char>(charge)};
//     boost::beast::http::request_parser<ChargedBody> parser;
//     parser.get().body().setLimits(charge, maxBytes);
//
// A read for which there is no memory fails: into the buffer with http::error::buffer_overflow, into the body
// with std::errc::not_enough_memory.
#pragma once

#include "ragwortwinch/forward/memory_account.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace ragwortwinch {

template <typename T> class ChargedAllocator {
public:
    using value_type = T;

    explicit ChargedAllocator(MemoryCharge& charge)
        : charge_(&charge)
    {
    }
    template <typename U>
    explicit ChargedAllocator(const ChargedAllocator<U>& other)
        : charge_(other.charge())
    {
    }

    T* allocate(std::size_t count)
    {
        // Beast turns this exception into an error of the read.
        if (!charge_->add(count * sizeof(T)))
            throw std::length_error("no memory is left for the input of this connection");
        return std::allocator<T>().allocate(count);
    }
    void deallocate(T* items, std::size_t count)
    {
        std::allocator<T>().deallocate(items, count);
        charge_->release(count * sizeof(T));
    }
    MemoryCharge* charge() const { return charge_; }
    template <typename U> bool operator==(const ChargedAllocator<U>& other) const
    {
        return charge_ == other.charge();
    }

private:
    MemoryCharge* charge_;
};

// The bytes of a body. What they charge stays charged when they are taken; the connection releases it when
// the request has been answered.
class ChargedBytes {
public:
    // Set before the body is read. The capacity stays within `maxBytes`, the limit on a body.
    void setLimits(MemoryCharge& charge, std::size_t maxBytes)
    {
        charge_ = &charge;
        maxBytes_ = maxBytes;
    }
    // Both return false if there is no memory.
    bool reserve(std::size_t bytes);
    bool append(std::string_view bytes);
    // Frees and releases everything, and accepts no more.
    void refuse();
    std::string take() { return std::move(text_); }
    std::size_t chargedBytes() const { return chargedBytes_; }

private:
    MemoryCharge* charge_ = nullptr;
    std::size_t maxBytes_ = 0;
    std::string text_;
    std::size_t chargedBytes_ = 0;
};

struct ChargedBody {
    using value_type = ChargedBytes;

    // Beast requires this name.
    class reader { // NOLINT(readability-identifier-naming)
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& bytes)
            : bytes_(bytes)
        {
        }
        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }
        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            std::size_t size = 0;
            for (boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                if (!bytes_.append({static_cast<const char*>(buffer.data()), buffer.size()})) {
                    error = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
                    return size;
                }
                size += buffer.size();
            }
            return size;
        }
        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& bytes_;
    };
};

} // namespace ragwortwinch
