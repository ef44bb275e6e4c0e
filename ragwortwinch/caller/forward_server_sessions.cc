// The connections of a ForwardServer, and which of them makes room when it has as many as it takes.
#include "ragwortwinch/caller/forward_server.h"

#include "ragwortwinch/base/log_event.h"

#include <algorithm>

namespace ragwortwinch {

void ForwardServer::addSession(boost::asio::ip::tcp::socket socket)
{
    std::shared_ptr<CallerSession> session
        = std::make_shared<CallerSession>(context_, static_cast<SessionOwner&>(*this), std::move(socket));
    if (sessions_.size() >= options_.maxSessions && !makeRoomFor(session->address())) {
        if (log_.shouldLogFailure(context_.clock.now()))
            LogEvent("callers.too_many", Severity::Warning).with("connections", sessions_.size());
        return;
    }
    sessions_.insert(session);
    ++sessionsByAddress_[session->address()];
    session->start();
}

bool ForwardServer::makeRoomFor(const std::string& address)
{
    auto busiest = std::max_element(sessionsByAddress_.begin(), sessionsByAddress_.end(),
        [](const auto& first, const auto& second) { return first.second < second.second; });
    auto own = sessionsByAddress_.find(address);
    std::size_t ownSessions = own == sessionsByAddress_.end() ? 0 : own->second;
    // Otherwise callers would close each other's connections in turn.
    if (busiest == sessionsByAddress_.end() || busiest->second <= ownSessions + 1)
        return false;
    std::vector<std::shared_ptr<CallerSession>> idle;
    for (const std::shared_ptr<CallerSession>& session : sessions_) {
        if (session->isIdle() && session->address() == busiest->first)
            idle.push_back(session);
    }
    std::sort(idle.begin(), idle.end(),
        [](const std::shared_ptr<CallerSession>& first, const std::shared_ptr<CallerSession>& second) {
            return first->idleSince() < second->idleSince();
        });
    return std::any_of(idle.begin(), idle.end(),
        [](const std::shared_ptr<CallerSession>& session) { return session->closeForRoom(); });
}

void ForwardServer::onSessionEnd(const std::shared_ptr<CallerSession>& session)
{
    sessions_.erase(session);
    auto count = sessionsByAddress_.find(session->address());
    if (count != sessionsByAddress_.end() && --count->second == 0)
        sessionsByAddress_.erase(count);
    updateDrained();
}

} // namespace ragwortwinch
