// Cuts the responders of a server off from it when it ends, so that they may live on.
//
//     registry->add(link);                       // for each responder
//     ResponderRegistry::Use use(*registry);     // around each access of a responder to its server
//     if (use) link->request->...
//     registry->endAll();                        // before the server is destroyed
//
// Thread-safe.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_set>

namespace ragwortwinch::internal {

// What a responder holds of its server.
class ResponderLink {
public:
    virtual ~ResponderLink() = default;
    // Drops everything that refers to the server.
    virtual void disconnect() = 0;
    // Tells the responder's owner that the connection is closed.
    virtual void markClosed() = 0;
};

class ResponderRegistry {
public:
    // While it exists, the server does. False if the server has ended.
    class Use {
    public:
        explicit Use(ResponderRegistry& registry)
            : registry_(registry)
        {
            std::lock_guard<std::mutex> lock(registry_.mutex_);
            isAllowed_ = !registry_.hasEnded_;
            registry_.uses_ += isAllowed_ ? 1 : 0;
        }
        ~Use()
        {
            std::lock_guard<std::mutex> lock(registry_.mutex_);
            if (isAllowed_ && --registry_.uses_ == 0)
                registry_.isUnused_.notify_all();
        }
        Use(const Use&) = delete;
        Use& operator=(const Use&) = delete;
        explicit operator bool() const { return isAllowed_; }

    private:
        ResponderRegistry& registry_;
        bool isAllowed_ = false;
    };

    void add(std::shared_ptr<ResponderLink> link)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        links_.insert(std::move(link));
    }
    void remove(const std::shared_ptr<ResponderLink>& link)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        links_.erase(link);
    }

    // Waits for the uses under way, then disconnects and closes all responders. The server's threads must
    // have ended.
    void endAll()
    {
        std::unordered_set<std::shared_ptr<ResponderLink>> links;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            hasEnded_ = true;
            isUnused_.wait(lock, [this] { return uses_ == 0; });
            links.swap(links_);
        }
        for (const std::shared_ptr<ResponderLink>& link : links)
            link->disconnect();
        for (const std::shared_ptr<ResponderLink>& link : links)
            link->markClosed();
    }

private:
    std::mutex mutex_;
    std::condition_variable isUnused_;
    bool hasEnded_ = false;
    int uses_ = 0;
    std::unordered_set<std::shared_ptr<ResponderLink>> links_;
};

} // namespace ragwortwinch::internal
