#include "hot_restart/restart_transport.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace fernward::hot_restart {
namespace {

constexpr timeval kAcceptRetryDelay{0, 50000};
constexpr std::size_t kReadBytes = 64 << 10;
constexpr std::size_t kMaxDescriptorsPerRead = 8; // each frame carries at most one
constexpr int kBacklog = 4;

bool make_address(const std::string& path, sockaddr_un& address) {
  address = {};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) return false;
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return true;
}

// Only a process of the same user may replace this one.
bool is_peer_same_user(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

// Returns the number of bytes sent; 0: the socket is not writable now; below 0: the peer has closed it.
// `descriptor` below 0: none is sent.
ssize_t send_part(int socket, std::string_view bytes, int descriptor) {
  iovec buffer{const_cast<char*>(bytes.data()), bytes.size()};
  msghdr message{};
  message.msg_iov = &buffer;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control_buffer[CMSG_SPACE(sizeof(int))] = {};
  if (descriptor >= 0) {
    message.msg_control = control_buffer;
    message.msg_controllen = sizeof control_buffer;
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
  }
  const auto sent = sendmsg(socket, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent >= 0) return sent;
  // ETOOMANYREFS: the peer first has to receive the descriptors that are already in transit.
  return would_block() || errno == ETOOMANYREFS ? 0 : -1;
}

} // namespace

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  if (this == &other) return *this;
  if (fd_ >= 0) ::close(fd_);
  fd_ = other.release();
  return *this;
}

Descriptor::~Descriptor() {
  if (fd_ >= 0) ::close(fd_);
}

// ---- MessageReader ----

MessageReader::ReadResult MessageReader::receive(int socket) {
  char bytes[kReadBytes];
  iovec buffer{bytes, sizeof bytes};
  alignas(cmsghdr) char control_buffer[CMSG_SPACE(kMaxDescriptorsPerRead * sizeof(int))];
  msghdr message{};
  message.msg_iov = &buffer;
  message.msg_iovlen = 1;
  message.msg_control = control_buffer;
  message.msg_controllen = sizeof control_buffer;
  const auto size = recvmsg(socket, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (size < 0) return would_block() ? ReadResult::WouldBlock : ReadResult::Closed;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t count = (header->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int fd = -1;
      std::memcpy(&fd, CMSG_DATA(header) + i * sizeof fd, sizeof fd);
      descriptors_.emplace_back(fd);
    }
  }
  if ((message.msg_flags & MSG_CTRUNC) != 0) error_ = "received file descriptors were truncated";
  if (size == 0) return ReadResult::Closed;
  bytes_.append(bytes, static_cast<std::size_t>(size));
  return ReadResult::Data;
}

std::optional<Message> MessageReader::next_message(Descriptor& descriptor) {
  if (!error_.empty()) return std::nullopt;
  DecodeResult decoded = decode(bytes_);
  error_ = decoded.error;
  if (!decoded.message) return std::nullopt;
  bytes_.erase(0, decoded.frame_bytes);
  if (std::holds_alternative<TakeoverGrant>(*decoded.message) ||
      std::holds_alternative<PassedConnection>(*decoded.message)) {
    if (descriptors_.empty()) {
      error_ = "message has no file descriptor";
      return std::nullopt;
    }
    descriptor = std::move(descriptors_.front());
    descriptors_.pop_front();
  }
  return std::move(decoded.message);
}

// ---- ProcessConnection ----

ProcessConnection::ProcessConnection(event_base* base, Descriptor socket, OnMessage on_message,
                                     OnClosed on_closed, MessageReader reader)
    : socket_(std::move(socket)),
      on_message_(std::move(on_message)),
      on_closed_(std::move(on_closed)),
      reader_(std::move(reader)),
      read_event_(
          event_new(base, socket_.get(), EV_READ | EV_PERSIST, &ProcessConnection::on_readable, this)),
      write_event_(event_new(base, socket_.get(), EV_WRITE, &ProcessConnection::on_writable, this)) {
  if (read_event_ == nullptr || write_event_ == nullptr) throw std::bad_alloc();
  event_add(read_event_.get(), nullptr);
  event_active(read_event_.get(), EV_READ, 0); // `reader` may already hold a message
}

void ProcessConnection::on_readable(int, short, void* context) {
  static_cast<ProcessConnection*>(context)->read();
}
void ProcessConnection::on_writable(int, short, void* context) {
  static_cast<ProcessConnection*>(context)->write();
}

void ProcessConnection::read() {
  for (bool more_input = true; more_input && !closed_;) {
    const MessageReader::ReadResult result = reader_.receive(socket_.get());
    Descriptor descriptor;
    for (auto message = reader_.next_message(descriptor); message;
         message = reader_.next_message(descriptor)) {
      on_message_(std::move(*message), std::move(descriptor));
      if (closed_) return;
    }
    if (!reader_.error().empty()) return close(reader_.error());
    if (result == MessageReader::ReadResult::Closed) return close("");
    more_input = result == MessageReader::ReadResult::Data;
  }
}

void ProcessConnection::send(const Message& message, Descriptor descriptor) {
  if (closed_) return;
  send_queue_.push_back({encode(message), 0, std::move(descriptor)});
  if (send_queue_.size() == 1) write();
}

void ProcessConnection::write() {
  while (!send_queue_.empty()) {
    OutgoingFrame& frame = send_queue_.front();
    const std::string_view unsent = std::string_view(frame.bytes).substr(frame.sent_bytes);
    const auto sent = send_part(socket_.get(), unsent, frame.descriptor.get());
    if (sent < 0) {
      send_queue_.clear();
      event_active(read_event_.get(), EV_READ, 0); // read() then detects the closed connection
      return;
    }
    if (sent == 0) {
      event_add(write_event_.get(), nullptr);
      return;
    }
    frame.descriptor = Descriptor(); // it is sent together with the first byte
    frame.sent_bytes += static_cast<std::size_t>(sent);
    if (frame.sent_bytes == frame.bytes.size()) send_queue_.pop_front();
  }
}

void ProcessConnection::close(const std::string& error) {
  if (std::exchange(closed_, true)) return;
  event_del(read_event_.get());
  event_del(write_event_.get());
  send_queue_.clear();
  on_closed_(error); // may destroy this
}

// ---- RestartListener ----

RestartListener::RestartListener(event_base* base, const std::string& path, OnConnect on_connect)
    : path_(path), on_connect_(std::move(on_connect)) {
  bind_path();
  accept_event_.reset(
      event_new(base, socket_.get(), EV_READ | EV_PERSIST, &RestartListener::on_acceptable, this));
  resume_event_.reset(event_new(base, -1, 0, &RestartListener::resume, this));
  if (accept_event_ == nullptr || resume_event_ == nullptr) throw std::bad_alloc();
  event_add(accept_event_.get(), nullptr);
}

void RestartListener::bind_path() {
  const std::string temporary_path = path_ + "." + std::to_string(getpid());
  const auto fail = [&temporary_path](const char* operation) {
    throw std::runtime_error(std::string(operation) + " " + temporary_path + ": " + std::strerror(errno));
  };
  sockaddr_un address{};
  errno = ENAMETOOLONG;
  if (!make_address(temporary_path, address)) fail("bind");
  socket_ = Descriptor(socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  ::unlink(temporary_path.c_str()); // left by an earlier process with the same process id
  if (!socket_ || bind(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    fail("bind");
  }
  struct stat status {};
  if (chmod(temporary_path.c_str(), 0600) != 0 || listen(socket_.get(), kBacklog) != 0 ||
      stat(temporary_path.c_str(), &status) != 0 || std::rename(temporary_path.c_str(), path_.c_str()) != 0) {
    const int saved_errno = errno;
    ::unlink(temporary_path.c_str());
    errno = saved_errno;
    fail("listen");
  }
  inode_ = status.st_ino;
}

RestartListener::~RestartListener() {
  struct stat status {};
  if (stat(path_.c_str(), &status) == 0 && status.st_ino == inode_) ::unlink(path_.c_str());
}

void RestartListener::on_acceptable(int listen_fd, short, void* context) {
  auto& listener = *static_cast<RestartListener*>(context);
  Descriptor accepted(accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!accepted) { // without the pause the event would fire again at once until a descriptor is free
    event_del(listener.accept_event_.get());
    event_add(listener.resume_event_.get(), &kAcceptRetryDelay);
    return;
  }
  if (!is_peer_same_user(accepted.get())) {
    return log::line("hot-restart-refused", {{"why", "peer process belongs to another user"}});
  }
  listener.on_connect_(std::move(accepted));
}

void RestartListener::resume(int, short, void* context) {
  event_add(static_cast<RestartListener*>(context)->accept_event_.get(), nullptr);
}

// ---- the new process ----

namespace {

// None: no process listens there (`error` is empty), or `error` describes the failure.
Descriptor connect_to(const std::string& path, std::string& error) {
  sockaddr_un address{};
  if (!make_address(path, address)) return {};
  Descriptor connection(socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!connection ||
      connect(connection.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    if (errno != ENOENT && errno != ECONNREFUSED) error = std::strerror(errno);
    return {};
  }
  if (!is_peer_same_user(connection.get())) {
    error = "peer process belongs to another user";
    return {};
  }
  return connection;
}

// Blocks until the grant is received or `deadline_ms` has passed. False: `error` describes the failure.
bool await_grant(InheritedState& inherited, double deadline_ms, std::string& error) {
  while (error.empty()) {
    const double remaining_ms = deadline_ms - loop::now_ms();
    pollfd poll_entry{inherited.connection.get(), POLLIN, 0};
    if (remaining_ms <= 0 || poll(&poll_entry, 1, static_cast<int>(remaining_ms) + 1) == 0) {
      error = "no takeover grant received in time";
      return false;
    }
    const MessageReader::ReadResult result = inherited.reader.receive(inherited.connection.get());
    if (auto message = inherited.reader.next_message(inherited.listen_socket)) {
      if (auto* grant = std::get_if<TakeoverGrant>(&*message)) {
        inherited.grant = std::move(*grant);
        return true;
      }
      error = "first message is not a takeover grant";
      return false;
    }
    error = inherited.reader.error();
    if (error.empty() && result == MessageReader::ReadResult::Closed)
      error = "old process closed the connection";
  }
  return false;
}

} // namespace

std::optional<InheritedState> request_takeover(const std::string& path, const TakeoverRequest& request,
                                               double timeout_ms, std::string& error) {
  error.clear();
  InheritedState inherited;
  inherited.connection = connect_to(path, error);
  if (!inherited.connection) return std::nullopt;
  const std::string frame = encode(request);
  if (send_part(inherited.connection.get(), frame, -1) != static_cast<ssize_t>(frame.size())) {
    error = "old process did not accept the takeover request";
    return std::nullopt;
  }
  if (!await_grant(inherited, loop::now_ms() + timeout_ms, error)) return std::nullopt;
  return inherited;
}

} // namespace fernward::hot_restart
