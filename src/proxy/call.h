// What the exchange needs of a request and gives as an answer, free of any protocol: another codec than HTTP
// can stand before it and behind it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "body_buffers/buffer_budget.h"
#include "fernward/balancer.h"
#include "loop/buffer.h"
#include "loop/slot_map.h"
#include "proxy/request_body.h"

namespace fernward::proxy {

using loop::Handle;

struct ClientRequest {
  bool write = false;
  std::string target;                  // path and query, passed on as they came
  std::string body;                    // of one that is short, or
  std::shared_ptr<RequestBody> inflow; // of a long one, which may still be coming
  double body_ms = 0;                  // for so long at most; 0: it is here
  std::string id;                      // the client's
  std::string repeat_key;              // by which cache nodes know a repeat
  std::uint32_t category = 0, tenant = 0;
  std::uint64_t key = 0;
  double work_ms = 0;    // expected; 0: unknown
  double timeout_ms = 0; // the client waits this long from the call's last byte on
};
using ClientRequestPtr = std::shared_ptr<const ClientRequest>;

// Bytes of a body on their way, and what they take of the account.
struct BufferedBytes {
  loop::Buffer buffer;
  body_buffers::BufferBudget::Hold hold;
};

struct ClientResponse { // a final one, whole
  enum class Kind { Served, Refused, Failed };
  Kind kind = Kind::Failed;
  BufferedBytes body; // of a served one
  std::string content_type;
  double retry_after_ms = 0; // of a refused one; 0: no advice
};

// A served answer that begins before it is whole.
struct ResponseHead {
  std::string content_type;
  std::optional<std::uint64_t> length; // of the body, where it was announced
  BufferedBytes body;                  // what has come so far
};

// How an attempt ended, as the egress side saw it. Of an answer that had begun to be passed on, anything but Ok
// means that it broke off.
struct AttemptCompletion {
  fernward::AttemptResult result = fernward::AttemptResult::Reset;
  BufferedBytes body; // of one that came whole and has not begun
  std::string content_type;
  std::vector<float> report;
  double paused_ms = 0; // of its time, while the client took nothing or was still sending
  // It went out on a connection that had been kept at rest, for so long. A reset on such a one says less
  // about its target: the connection may have been closed before.
  bool rested = false;
  double rested_ms = 0;
  bool first = false; // that went out on its connection
};

// The client's side, as the driver sees it. A client that has left, or waits for nothing, is passed over.
class DownstreamConnections {
 public:
  virtual ~DownstreamConnections() = default;
  virtual void answer(Handle client, ClientResponse answer) = 0;
  // Has it neither left nor ended its sending, as far as this machine has been told? The loop may not have seen that
  // yet: it can stand behind bytes that are unread, or have come in the same moment as the request.
  virtual bool present(Handle client) = 0;

  // An answer that passes through: begun once, passed on piece by piece, then ended.
  virtual bool begin(Handle client, ResponseHead opening) = 0; // false: nobody is there to take it
  virtual std::size_t room(Handle client) = 0;                 // bytes it takes now
  virtual void pass(Handle client, std::string_view bytes, loop::IoBuffer& block) = 0; // no more than that
  // The same straight from a socket, no more than `most`: tells what was read, and passed on. False: not on this
  // client's connection, or not now.
  virtual bool pass_from(Handle client, int socket, std::size_t most, loop::IoBuffer& block,
                         loop::Received& received, std::size_t& bytes) = 0;
  virtual void end(Handle client, bool whole) = 0; // not whole: the client can tell
  // Calls the driver's drained() when there is room again, for whoever met none.
};

// The egress side, as the driver sees it. Nothing of AttemptSide is called from within start, cancel or go_on.
class UpstreamConnections {
 public:
  enum class Start { Begun, NoTarget, Full };
  struct Pause { // of an attempt whose client took nothing, or was still sending
    double ms = 0;
    bool lasts = false;
  };

  virtual ~UpstreamConnections() = default;
  virtual Start start(Handle attempt, fernward::ServerId target, const ClientRequestPtr& call,
                      double deadline) = 0;
  virtual Pause cancel(Handle attempt) = 0;
  virtual void go_on(Handle attempt) = 0; // reads on, where room() said that there was none
};

// The driver, as the egress side sees it.
class AttemptCallbacks {
 public:
  virtual ~AttemptCallbacks() = default;
  virtual void ended(Handle attempt, AttemptCompletion ending) = 0;
  // An answer waits until it is whole, but not beyond this time; see body_buffers/response_buffering.h.
  virtual double wait_until(Handle attempt) = 0;
  // May its first byte be written now? Its connection may have come up long after the attempt was decided: the request
  // may have had its final answer, its client have left, its time or its key's window be over.
  virtual bool may_write(Handle attempt) = 0;
  // As of ClientSide, for the client that the attempt is made for. False: the answer is not wanted any more.
  virtual bool begin(Handle attempt, ResponseHead opening) = 0;
  virtual std::size_t room(Handle attempt) = 0;
  virtual void pass(Handle attempt, std::string_view bytes, loop::IoBuffer& block) = 0;
  virtual bool pass_from(Handle attempt, int socket, std::size_t most, loop::IoBuffer& block,
                         loop::Received& received, std::size_t& bytes) = 0;
};

} // namespace fernward::proxy
