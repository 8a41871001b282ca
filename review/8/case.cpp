// Many bookings with bodies of 2 MB arrive at once. Each client has written its last byte long before its time
// is up; it has to get a final answer, of whatever kind, half a second after its time at the latest.
#include "../kit-2/kit.h"

using namespace kit;

namespace {

constexpr int kClients = 100;        // of 1,024 descriptors, "a third" of which may hold requests
constexpr double kTimeMs = 1500;     // X-Timeout-Ms and give_up of the class
constexpr double kLostAfterMs = 500; // "Up to half a second after its time it only earns nothing"
constexpr double kToleranceMs = 50;  // "Each time limit grows by 50 ms"
constexpr double kMeasuringMs = 150; // this program may itself be late
constexpr std::size_t kLongBytes = 2000000, kShortBytes = 2000;
constexpr int kLedgerAtOnce = 4; // the ledger is slow: some 30 requests a second
constexpr double kLedgerWorkMs = 130;

struct Result {
  bool written = false;
  double written_at = 0;
  Message message;
};

} // namespace

int main() {
  begin();
  std::mutex ledger_mutex;
  std::condition_variable ledger_free;
  int at_work = 0;
  const Server::Handle ledger = [&](const Attempt& attempt, Stream& stream) {
    {
      std::unique_lock lock(ledger_mutex);
      ledger_free.wait(lock, [&] { return at_work < kLedgerAtOnce; });
      ++at_work;
    }
    sleep_ms(kLedgerWorkMs);
    {
      const std::lock_guard lock(ledger_mutex);
      --at_work;
    }
    ledger_free.notify_one();
    return stream.write(response(200, Server::value_for(attempt.server, attempt), kLoad));
  };
  Fleet fleet(4, {}, ledger);
  const RouterFiles files = router_files(fleet);
  write_file(files.config_path, config_json(files, 0, fleet.agent->known(), kSiteClasses));
  Router router(files, 0, "router.log");
  if (!router.wait_ready()) cannot_run("the router did not become ready");
  Lookups lookups(files.port, 20);
  sleep_ms(1000);

  std::vector<Result> results(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&files, &result = results[static_cast<std::size_t>(i)], i] {
      RequestSpec spec;
      spec.id = new_id();
      spec.method = "PUT";
      spec.class_name = "slot-book";
      spec.key = text("booking-%d", i);
      spec.idempotency_key = "key-" + spec.id;
      spec.body.assign(trouble() ? kLongBytes : kShortBytes, 'b');
      Stream stream = Stream::connect_to(files.port);
      const double begun_at = now_ms();
      result.written = stream.is_open() && stream.write(head_of(spec) + spec.body);
      result.written_at = now_ms();
      result.message =
          stream.read_message(result.written_at + kTimeMs + kLostAfterMs + kToleranceMs + kMeasuringMs, true);
      record("client: PUT %s id=%s: %zu bytes written within %.0f ms; then %d %s after %.0f ms",
             spec.key.c_str(), spec.id.c_str(), spec.body.size(), result.written_at - begun_at,
             result.message.status(), name_of(result.message.end),
             result.message.ended_at - result.written_at);
    });
  }
  for (std::thread& client : clients) client.join();
  lookups.stop();
  if (router.has_exited()) verdict(true, "the router has ended by itself");

  int served = 0, refused = 0, failed = 0, closed = 0, lost = 0, unwritten = 0;
  for (const Result& result : results) {
    const int status = result.message.status();
    if (!result.written) {
      ++unwritten;
    } else if (result.message.end == Message::End::TimedOut) {
      ++lost;
    } else if (!result.message.whole()) {
      ++closed;
    } else {
      ++(status == 200 ? served : status == 503 || status == 429 ? refused : failed);
    }
  }
  say("%d bookings: %d served, %d refused, %d failed, %d closed on, %d not written whole", kClients, served,
      refused, failed, closed, unwritten);
  say("%d were written whole and had no answer at their time and half a second more", lost);
  if (served == 0) cannot_run("the router served nothing");
  verdict(lost > 0, "rule on lost requests");
}
