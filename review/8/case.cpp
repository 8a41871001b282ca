// The ledger hangs for some seconds. Bookings with bodies of 2 MB come as before; each client has written its last
// byte long before its time is up, and has to get a final answer half a second after its time at the latest.
#include "../kit-2/kit.h"

using namespace kit;

namespace {

constexpr double kSeconds = 10;
constexpr double kLookupsPerS = 250, kBookingsPerS = 12; // 4.6% of the requests are bookings
constexpr int kKeys = 200;
constexpr double kHangAtMs = 4000, kHangMs = 3000;
constexpr double kTimeMs = 1500;     // X-Timeout-Ms and give_up of the class
constexpr double kLostAfterMs = 500; // "Up to half a second after its time it only earns nothing"
constexpr double kToleranceMs = 50;  // "Each time limit grows by 50 ms"
constexpr double kMeasuringMs = 150; // this program may itself be late
constexpr double kWatchedMs = 7000;  // how long a client looks on, to record when its answer comes
constexpr std::size_t kBytes = 2000000;
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
  const auto stored = std::make_shared<Stored>();
  std::mutex ledger_mutex;
  std::condition_variable ledger_free;
  int at_work = 0;
  std::atomic<double> hang_from{1e18};
  const Server::Handle cache = [&](const Attempt& attempt, Stream& stream) {
    sleep_ms(10);
    if (!stored->holds_or_missed(attempt))
      return stream.write(response(404, "", kLoad + "X-Cache-Status: miss\r\n"));
    return stream.write(
        response(200, Server::value_for(attempt.server, attempt), kLoad + "X-Cache-Status: hit\r\n"));
  };
  const Server::Handle ledger = [&](const Attempt& attempt, Stream& stream) {
    {
      std::unique_lock lock(ledger_mutex);
      ledger_free.wait(lock, [&] { return at_work < kLedgerAtOnce; });
      ++at_work;
    }
    sleep_ms(kLedgerWorkMs);
    const double hang_until = hang_from + kHangMs;
    if (now_ms() >= hang_from && now_ms() < hang_until) sleep_until(hang_until); // in the middle of its work
    {
      const std::lock_guard lock(ledger_mutex);
      --at_work;
    }
    ledger_free.notify_one();
    attempt.method == "PUT" ? stored->written(attempt) : stored->fetched(attempt);
    return stream.write(response(200, Server::value_for(attempt.server, attempt), kLoad));
  };
  Fleet fleet(4, cache, ledger);
  const RouterFiles files = router_files(fleet);
  write_file(files.config_path, config_json(files, 0, fleet.agent->known(), kSiteClasses));
  Router router(files, 0, "router.log");
  if (!router.wait_ready()) cannot_run("the router did not become ready");

  Lookups lookups(files.port, kLookupsPerS, kKeys);
  std::mutex results_mutex;
  std::vector<Result> results;
  std::vector<std::thread> clients;
  const double start = now_ms();
  if (trouble()) {
    hang_from = start + kHangAtMs;
    record("the ledger hangs from %.0f to %.0f", hang_from.load(), hang_from + kHangMs);
  }
  for (int i = 0; now_ms() - start < kSeconds * 1000; ++i) {
    sleep_until(start + i * 1000 / kBookingsPerS);
    clients.emplace_back([&, i] {
      RequestSpec spec;
      spec.id = new_id();
      spec.method = "PUT";
      spec.class_name = "slot-book";
      spec.key = text("berth-%d", i * 37 % kKeys);
      spec.idempotency_key = "key-" + spec.id;
      spec.body.assign(kBytes, 'b');
      Result result;
      Stream stream = Stream::connect_to(files.port);
      const double begun_at = now_ms();
      result.written = stream.is_open() && stream.write(head_of(spec) + spec.body);
      result.written_at = now_ms();
      result.message = stream.read_message(result.written_at + kWatchedMs, true);
      record("client: PUT %s id=%s: %zu bytes written from %.0f to %.0f; then %d %s after %.0f ms",
             spec.key.c_str(), spec.id.c_str(), spec.body.size(), begun_at, result.written_at,
             result.message.status(), name_of(result.message.end),
             result.message.ended_at - result.written_at);
      const std::lock_guard lock(results_mutex);
      results.push_back(std::move(result));
    });
  }
  for (std::thread& client : clients) client.join();
  lookups.stop();
  if (router.has_exited()) verdict(true, "the router has ended by itself");

  int served = 0, refused = 0, failed = 0, closed = 0, lost = 0, unwritten = 0;
  double latest = 0;
  for (const Result& result : results) {
    const int status = result.message.status();
    const double ended_after = result.message.ended_at - result.written_at;
    if (!result.written) {
      ++unwritten;
    } else if (ended_after > kTimeMs + kLostAfterMs + kToleranceMs + kMeasuringMs) {
      ++lost;
      latest = std::max(latest, ended_after);
    } else if (!result.message.whole()) {
      ++closed;
    } else {
      ++(status == 200 ? served : status == 503 || status == 429 ? refused : failed);
    }
  }
  say("%zu bookings: %d served, %d refused, %d failed, %d closed on in time; %d not written whole",
      results.size(), served, refused, failed, closed, unwritten);
  say("%d were written whole and had no answer at their time and half a second more, the latest %.0f ms "
      "after its last byte",
      lost, latest);
  if (served < 20) cannot_run("the router served too few bookings for a verdict");
  verdict(lost > 0, "rule on lost requests");
}
