#include "lab/shared/stream.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <new>

#include "loop/net.h"

namespace fernward::rig {
namespace {

constexpr std::size_t kReadBufferBytes = 64 * 1024;

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

int socket_error(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

} // namespace

Stream::Stream(event_base* base, int fd, Handler& handler)
    : base_(base),
      fd_(fd),
      handler_(handler),
      connected_(true),
      read_event_(event_new(base, fd, EV_READ | EV_PERSIST, &Stream::on_readable, this)),
      write_event_(event_new(base, fd, EV_WRITE, &Stream::on_writable, this)) {
  if (read_event_ == nullptr || write_event_ == nullptr) throw std::bad_alloc();
  loop::set_nodelay(fd);
  event_add(read_event_.get(), nullptr);
}

std::unique_ptr<Stream> Stream::connect(event_base* base, const sockaddr_in& address, Handler& handler) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  auto stream = std::make_unique<Stream>(base, fd, handler);
  stream->connected_ = false;
  event_del(stream->read_event_.get());
  // The result is reported from the loop in any case: a refusal stays in SO_ERROR or shows in getpeername().
  const int connect_result = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (connect_result != 0 && errno != EINPROGRESS) shutdown(fd, SHUT_RDWR);
  event_add(stream->write_event_.get(), nullptr);
  return stream;
}

Stream::~Stream() {
  read_event_.reset();
  write_event_.reset();
  close(fd_);
}

bool Stream::send(std::string_view bytes) {
  if (!unsent_.empty() || !connected_) {
    unsent_.append(bytes);
    return true;
  }
  const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && !would_block(errno)) return false;
  bytes.remove_prefix(sent < 0 ? 0 : static_cast<std::size_t>(sent));
  if (bytes.empty()) return true;
  unsent_.assign(bytes);
  event_add(write_event_.get(), nullptr);
  return true;
}

void Stream::pause() { event_del(read_event_.get()); }
void Stream::resume() {
  if (connected_) event_add(read_event_.get(), nullptr);
}
bool Stream::nothing_unread() const { return loop::peek(fd_) == loop::Peek::NoData; }
void Stream::shutdown_write() { shutdown(fd_, SHUT_WR); }
void Stream::reset_on_close() {
  const linger immediate{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
}

void Stream::on_readable(int, short, void* self) { static_cast<Stream*>(self)->handle_readable(); }
void Stream::on_writable(int, short, void* self) { static_cast<Stream*>(self)->handle_writable(); }

// Handler calls come last, as the handler may destroy the stream.
void Stream::handle_readable() {
  thread_local std::array<char, kReadBufferBytes> buffer;
  const ssize_t received = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (received > 0) return handler_.on_data({buffer.data(), static_cast<std::size_t>(received)});
  if (received < 0 && would_block(errno)) return;
  const int error = received < 0 ? errno : 0;
  event_del(read_event_.get());
  handler_.on_closed(error);
}

void Stream::handle_writable() {
  if (!connected_) {
    const int error = socket_error(fd_);
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (error != 0 || getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
      return handler_.on_closed(error != 0 ? error : ECONNREFUSED);
    }
    connected_ = true;
    event_add(read_event_.get(), nullptr);
    std::string pending;
    pending.swap(unsent_);
    if (!pending.empty()) send(pending);
    return handler_.on_connected();
  }
  const ssize_t sent = ::send(fd_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && !would_block(errno)) {
    unsent_.clear(); // the close is detected by the read event
    return;
  }
  unsent_.erase(0, sent < 0 ? 0 : static_cast<std::size_t>(sent));
  if (!unsent_.empty()) event_add(write_event_.get(), nullptr);
}

} // namespace fernward::rig
