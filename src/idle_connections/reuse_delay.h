// Decides how an attempt gets a connection when all idle ones are within their reuse delay. No I/O, no clock.
//
// A server may send its last response a second time, some milliseconds late. A request that is written before
// the duplicate arrives would be given the wrong response, as HTTP/1.1 responses name no request. Therefore a
// connection is not reused for a short time after a response, the reuse delay. Where a duplicate of the response
// can be recognized by its body, the connection has no delay.
#pragma once

namespace fernward::idle_connections {

/// What is known when an attempt finds idle connections, but none whose reuse delay is over.
struct ReuseDelayState {
  double remaining_ms = 0;        // of the connection whose reuse delay ends first
  double connect_ms = 0;          // how long that connection took to establish
  bool scarce = false;            // the server accepts too few connections for all routers
  bool descriptors_short = false; // another connection would have to be closed to open one
};

/// Whether the attempt should wait for the idle connection. False: opening another connection is as quick.
constexpr bool should_await_reuse(const ReuseDelayState& state) {
  return state.scarce || state.descriptors_short || state.remaining_ms <= state.connect_ms;
}

} // namespace fernward::idle_connections
