// Writes a run's records to a file as text, one line each. With the request, try and attempt numbers in
// the lines one request can be followed through a run of either driver.
#pragma once

#include <cstdio>
#include <memory>
#include <string>

#include "model/records.h"

namespace fernward::lab::storm {

// Writes all records except the starts of attempts and the periodic samples (LoadSample, SharingSample).
class TextRecordSink : public model::Sink {
 public:
  // Overwrites the file. Throws std::runtime_error if it can't be opened.
  explicit TextRecordSink(const std::string& path);

  using model::Sink::on;
  void on(const model::DrawnRequest& record) override;
  void on(const model::TrySent& record) override;
  void on(const model::TryEnded& record) override;
  void on(const model::RequestEnded& record) override;
  void on(const model::AttemptArrived& record) override;
  void on(const model::AttemptEnded& record) override;
  void on(const model::NodeEvent& record) override;
  void on(const model::RouterEvent& record) override;
  void on(const model::EndpointNotified& record) override;
  void on(const model::EventMark& record) override;
  void on(const model::RouterLogLine& record) override;

 private:
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

} // namespace fernward::lab::storm
