#include "src/dispatch/service_traffic_meter.h"

namespace filbertshift {

namespace {

constexpr std::chrono::milliseconds kSlice{100};

std::int64_t IndexOf(TimePoint now) {
  return now.time_since_epoch() / kSlice;
}

}  // namespace

ReportedServiceLoad& ServiceTrafficMeter::Current(const ServiceId& service,
                                                  TimePoint now) {
  Slices& slices = services_[service];
  std::int64_t index = IndexOf(now);
  Slice& slice = slices[static_cast<std::size_t>(index) % slices.size()];
  if (slice.index != index) {
    slice = {index, {}};
  }
  return slice.load;
}

void ServiceTrafficMeter::OnArrival(const ServiceId& service, TimePoint now) {
  ++Current(service, now).arrivals;
}

void ServiceTrafficMeter::OnAdmitted(const ServiceId& service, TimePoint now) {
  ++Current(service, now).admitted;
}

void ServiceTrafficMeter::OnAnswer(const ServiceId& service,
                                   std::chrono::microseconds time,
                                   TimePoint now) {
  ReportedServiceLoad& load = Current(service, now);
  ++load.answers;
  load.answer_ms += std::chrono::duration<double, std::milli>(time).count();
}

void ServiceTrafficMeter::OnRejection(const ServiceId& service, TimePoint now) {
  ++Current(service, now).rejections;
}

void ServiceTrafficMeter::Export(TimePoint now, LoadReport* report) {
  std::int64_t current = IndexOf(now);
  for (auto entry = services_.begin(); entry != services_.end();) {
    bool idle = true;
    ReportedServiceLoad sum;
    for (const Slice& slice : entry->second) {
      idle = idle && slice.index < current - kReportedSlices;
      if (slice.index < current && slice.index >= current - kReportedSlices) {
        sum.Add(slice.load);
      }
    }
    if (idle) {
      entry = services_.erase(entry);
      continue;
    }
    report->services[entry->first].Add(sum);
    ++entry;
  }
}

}  // namespace filbertshift
