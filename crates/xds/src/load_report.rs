//! Messages of the load reporting service (LRS).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use prost::Message;
use shalereel::interface::Nanos;
use shalereel_rpc::Status;
use xds_api::pb::envoy::config::core::v3::Locality;
use xds_api::pb::envoy::config::endpoint::v3::{
    cluster_stats::DroppedRequests, ClusterStats, EndpointLoadMetricStats, UpstreamEndpointStats,
    UpstreamLocalityStats,
};
use xds_api::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use xds_api::pb::google::protobuf::Duration;

use crate::assignment::{decode_address, encode_address, ADMISSION_CATEGORY};
use crate::{decoded, NodeInfo};

/// Name of the load metric that carries the sum of the response times of successful attempts, in milliseconds.
pub const RESPONSE_TIME_METRIC: &str = "answer_time_ms";

/// The load on one endpoint in one interval (`UpstreamEndpointStats`).
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Zone of the endpoint (`Locality.zone`).
    pub zone: String,
    /// Number of successful attempts.
    pub successes: u64,
    /// Number of failed attempts.
    pub failures: u64,
    /// Number of responses whose response time is known.
    pub timed_responses: u64,
    /// Sum of these response times, ns.
    pub response_time_sum: Nanos,
    /// Mean values of other metrics, by name.
    pub metrics: BTreeMap<String, f64>,
}

/// The load on one cluster in one interval (`ClusterStats`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterLoad {
    /// Name of the cluster.
    pub cluster: String,
    /// Time that the report covers, ns.
    pub interval: Nanos,
    /// Number of attempts begun, at all endpoints together.
    pub issued: u64,
    /// Number of failed attempts.
    pub failures: u64,
    /// Number of requests rejected before an attempt, by the admission limit or since no endpoint was available.
    pub dropped: u64,
    /// Load on each endpoint.
    pub endpoints: Vec<EndpointLoad>,
}

/// One load report (`LoadStatsRequest`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The reporting node; present in the first report of a stream.
    pub node: Option<NodeInfo>,
    /// Loads of the clusters that got requests.
    pub clusters: Vec<ClusterLoad>,
}

fn encode_duration(duration: Nanos) -> Duration {
    Duration { seconds: (duration / 1_000_000_000) as i64, nanos: (duration % 1_000_000_000) as i32 }
}

fn decode_duration(duration: Option<&Duration>) -> Nanos {
    let seconds_in_ns =
        |duration: &Duration| (duration.seconds.max(0) as Nanos).saturating_mul(1_000_000_000);
    duration.map_or(0, |duration| seconds_in_ns(duration).saturating_add(duration.nanos.max(0) as Nanos))
}

impl EndpointLoad {
    fn encode(&self) -> UpstreamEndpointStats {
        let metric = |name: &str, count, total| EndpointLoadMetricStats {
            metric_name: name.into(),
            num_requests_finished_with_metric: count,
            total_metric_value: total,
        };
        let mut metrics =
            vec![metric(RESPONSE_TIME_METRIC, self.timed_responses, self.response_time_sum as f64 / 1e6)];
        metrics.extend(self.metrics.iter().map(|(name, value)| metric(name, 1, *value)));
        UpstreamEndpointStats {
            address: Some(encode_address(self.address)),
            total_successful_requests: self.successes,
            total_error_requests: self.failures,
            total_issued_requests: self.successes + self.failures,
            load_metric_stats: metrics,
            ..UpstreamEndpointStats::default()
        }
    }

    fn decode(stats: &UpstreamEndpointStats, zone: &str) -> Option<Self> {
        let mut load = EndpointLoad {
            address: decode_address(stats.address.as_ref())?,
            zone: zone.to_owned(),
            successes: stats.total_successful_requests,
            failures: stats.total_error_requests,
            timed_responses: 0,
            response_time_sum: 0,
            metrics: BTreeMap::new(),
        };
        for metric in &stats.load_metric_stats {
            let (count, total) = (metric.num_requests_finished_with_metric, metric.total_metric_value);
            if count == 0 || !total.is_finite() || total < 0.0 {
                continue;
            }
            if metric.metric_name == RESPONSE_TIME_METRIC {
                load.timed_responses = count;
                load.response_time_sum = (total * 1e6) as Nanos;
            } else {
                load.metrics.insert(metric.metric_name.clone(), total / count as f64);
            }
        }
        Some(load)
    }
}

impl LoadReport {
    /// Encodes a `LoadStatsRequest`.
    pub fn encode(&self) -> Vec<u8> {
        let cluster_stats = self.clusters.iter().map(|cluster| {
            let mut zones: BTreeMap<&str, Vec<&EndpointLoad>> = BTreeMap::new();
            for endpoint in &cluster.endpoints {
                zones.entry(&endpoint.zone).or_default().push(endpoint);
            }
            let localities = zones.into_iter().map(|(zone, endpoints)| {
                let sum = |of: fn(&EndpointLoad) -> u64| endpoints.iter().map(|load| of(load)).sum::<u64>();
                UpstreamLocalityStats {
                    locality: Some(Locality { zone: zone.to_owned(), ..Locality::default() }),
                    total_successful_requests: sum(|load| load.successes),
                    total_error_requests: sum(|load| load.failures),
                    total_issued_requests: sum(|load| load.successes + load.failures),
                    upstream_endpoint_stats: endpoints.iter().map(|load| load.encode()).collect(),
                    ..UpstreamLocalityStats::default()
                }
            });
            ClusterStats {
                cluster_name: cluster.cluster.clone(),
                upstream_locality_stats: localities.collect(),
                total_dropped_requests: cluster.dropped,
                dropped_requests: vec![DroppedRequests {
                    category: ADMISSION_CATEGORY.into(),
                    dropped_count: cluster.dropped,
                }],
                load_report_interval: Some(encode_duration(cluster.interval)),
                ..ClusterStats::default()
            }
        });
        let request = LoadStatsRequest {
            node: self.node.as_ref().map(NodeInfo::encode),
            cluster_stats: cluster_stats.collect(),
        };
        request.encode_to_vec()
    }

    /// Decodes a `LoadStatsRequest`; endpoints without a socket address are skipped.
    ///
    /// # Errors
    ///
    /// The message is not a `LoadStatsRequest`.
    pub fn decode(bytes: &[u8]) -> Result<Self, Status> {
        let request: LoadStatsRequest = decoded(bytes, "LoadStatsRequest")?;
        let clusters = request.cluster_stats.into_iter().map(|stats| {
            let localities = &stats.upstream_locality_stats;
            let endpoints = localities.iter().flat_map(|locality| {
                let zone = locality.locality.as_ref().map(|l| l.zone.as_str()).unwrap_or_default();
                locality.upstream_endpoint_stats.iter().filter_map(|stats| EndpointLoad::decode(stats, zone))
            });
            // Older clients do not set `total_issued_requests`.
            let issued = |l: &UpstreamLocalityStats| {
                l.total_issued_requests
                    .max(l.total_successful_requests.saturating_add(l.total_error_requests))
            };
            ClusterLoad {
                endpoints: endpoints.collect(),
                issued: localities.iter().fold(0, |sum, l| sum.saturating_add(issued(l))),
                failures: localities.iter().fold(0, |sum, l| sum.saturating_add(l.total_error_requests)),
                dropped: stats.total_dropped_requests,
                interval: decode_duration(stats.load_report_interval.as_ref()),
                cluster: stats.cluster_name,
            }
        });
        Ok(LoadReport { clusters: clusters.collect(), node: request.node.as_ref().map(NodeInfo::decode) })
    }
}

/// The server's settings for a client's load reports (`LoadStatsResponse`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReportConfig {
    /// Time between reports, ns.
    pub interval: Nanos,
    /// Whether loads are reported for each endpoint.
    pub by_endpoint: bool,
}

impl LoadReportConfig {
    /// Encodes a `LoadStatsResponse`.
    pub fn encode(&self) -> Vec<u8> {
        let response = LoadStatsResponse {
            send_all_clusters: true,
            load_reporting_interval: Some(encode_duration(self.interval)),
            report_endpoint_granularity: self.by_endpoint,
            ..LoadStatsResponse::default()
        };
        response.encode_to_vec()
    }

    /// Decodes a `LoadStatsResponse`.
    ///
    /// # Errors
    ///
    /// The message is not a `LoadStatsResponse`.
    pub fn decode(bytes: &[u8]) -> Result<Self, Status> {
        let response: LoadStatsResponse = decoded(bytes, "LoadStatsResponse")?;
        let interval = decode_duration(response.load_reporting_interval.as_ref());
        Ok(LoadReportConfig { interval, by_endpoint: response.report_endpoint_granularity })
    }
}
