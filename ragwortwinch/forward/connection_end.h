// Why a caller's connection ended, and whether a request was lost with it.
#pragma once

#include "ragwortwinch/base/name_table.h"

namespace ragwortwinch {

enum class ConnectionEnd {
    // The caller closed or reset it.
    CallerGone,
    // After a reply that announced it, or to a request that is invalid.
    AfterReply,
    // No request came within the idle timeout.
    IdleTimeout,
    // It waited for a request while this VM was stopping.
    IdleAtStop,
    // It waited for a request while a caller with fewer connections needed room.
    IdleForRoom,
    // Bytes for the caller could not be written.
    WriteFailed,
    // A stream was interrupted and reset.
    Aborted,
    // The process ended.
    ProcessEnd,
};

inline constexpr NameTable<ConnectionEnd, 8> connectionEndNames{{{
    {ConnectionEnd::CallerGone, "caller_gone"},
    {ConnectionEnd::AfterReply, "after_reply"},
    {ConnectionEnd::IdleTimeout, "idle_timeout"},
    {ConnectionEnd::IdleAtStop, "idle_at_stop"},
    {ConnectionEnd::IdleForRoom, "idle_for_room"},
    {ConnectionEnd::WriteFailed, "write_failed"},
    {ConnectionEnd::Aborted, "aborted"},
    {ConnectionEnd::ProcessEnd, "process_end"},
}}};

// What a connection had received from its caller, but not answered, when it ended.
enum class UnansweredInput {
    None,
    // Part of a request, or bytes that this process has not read.
    Unread,
    // Bytes that were read behind the last request and dropped.
    Dropped,
    // A request whose reply was not complete.
    Request,
};

inline constexpr NameTable<UnansweredInput, 4> unansweredInputNames{{{
    {UnansweredInput::None, "none"},
    {UnansweredInput::Unread, "unread"},
    {UnansweredInput::Dropped, "dropped"},
    {UnansweredInput::Request, "request"},
}}};

} // namespace ragwortwinch
