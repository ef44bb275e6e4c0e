// A value that many threads read without locks while one thread replaces it (read-copy-update).
//
//     Snapshot<Rules> rules(std::make_unique<Rules>());
//     { Snapshot<Rules>::Reader reader = rules.read(); reader->teams; }   // any thread, no lock
//     rules.replace(std::make_unique<Rules>(next));                      // waits for running readers
//
// A reader must be short-lived. Its thread must not call `replace` while it exists.
#pragma once

#include "ragwortwinch/base/internal/rcu.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace ragwortwinch {

// `read` is thread-safe and wait-free, except for a thread's first call, which registers the thread.
// `replace` is thread-safe and blocks for one grace period.
template <typename T> class Snapshot {
public:
    // Keeps the value alive until the reader is destroyed. Must be destroyed on the thread that created it.
    class Reader {
    public:
        explicit Reader(const Snapshot& owner)
            : owner_(owner)
        {
            internal::rcuReadLock();
            value_ = owner_.current_.load(std::memory_order_acquire);
        }
        ~Reader()
        {
            internal::annotateRelease(&owner_.current_);
            internal::rcuReadUnlock();
        }
        Reader(const Reader&) = delete;
        Reader& operator=(const Reader&) = delete;
        const T& operator*() const { return *value_; }
        const T* operator->() const { return value_; }

    private:
        const Snapshot& owner_;
        const T* value_;
    };

    explicit Snapshot(std::unique_ptr<const T> initial)
        : current_(initial.release())
    {
    }
    ~Snapshot() { delete current_.load(); }
    Snapshot(const Snapshot&) = delete;
    Snapshot& operator=(const Snapshot&) = delete;

    Reader read() const { return Reader(*this); }

    void replace(std::unique_ptr<const T> next)
    {
        std::lock_guard<std::mutex> lock(replaceMutex_);
        std::unique_ptr<const T> old(current_.exchange(next.release(), std::memory_order_acq_rel));
        internal::rcuSynchronize();
        internal::annotateAcquire(&current_);
    }

private:
    std::atomic<const T*> current_;
    std::mutex replaceMutex_;
};

} // namespace ragwortwinch
