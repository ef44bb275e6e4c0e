// HTTP status codes that the forwarding path sends or checks.
#pragma once

namespace ragwortwinch {

inline constexpr int statusOk = 200;
inline constexpr int statusBadRequest = 400;
inline constexpr int statusUnauthorized = 401;
inline constexpr int statusNotFound = 404;
inline constexpr int statusRequestTimeout = 408;
inline constexpr int statusTooLarge = 413;
inline constexpr int statusMisdirected = 421;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int statusHeaderTooLarge = 431;
inline constexpr int statusServerError = 500;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusGatewayTimeout = 504;

inline bool isSuccess(int status) { return status / 100 == 2; }
inline bool isServerError(int status) { return status >= statusServerError; }

} // namespace ragwortwinch
