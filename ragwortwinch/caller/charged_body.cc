#include "ragwortwinch/caller/charged_body.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// Capacity of the smallest body of unknown length: most requests have no more.
constexpr std::size_t firstCapacity = 4096;

} // namespace

bool ChargedBytes::reserve(std::size_t bytes)
{
    if (bytes <= chargedBytes_)
        return true;
    if (!charge_ || !charge_->add(bytes - chargedBytes_))
        return false;
    chargedBytes_ = bytes;
    // std::string::reserve would allocate at least twice the former capacity.
    std::string larger;
    larger.reserve(bytes);
    larger += text_;
    text_.swap(larger);
    return true;
}

bool ChargedBytes::append(std::string_view bytes)
{
    std::size_t size = text_.size() + bytes.size();
    if (size > chargedBytes_) {
        // Grows by half, so that at most a third of what is charged is unused.
        std::size_t grown = std::max(firstCapacity, chargedBytes_ / 2 * 3);
        if (!reserve(std::max(size, std::min(grown, maxBytes_))))
            return false;
    }
    text_ += bytes;
    return true;
}

void ChargedBytes::refuse()
{
    if (charge_)
        charge_->release(chargedBytes_);
    chargedBytes_ = 0;
    charge_ = nullptr;
    std::string().swap(text_);
}

} // namespace ragwortwinch
