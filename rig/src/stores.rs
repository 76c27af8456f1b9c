//! Experiment `stores`: the cost of the ledger's records on two embedded storage engines and on a plain log
//! with checksums, for different numbers of records per sync.
//!
//! Each job has three records: accepted with a body, leased, and finished with a result. Each engine keeps
//! the records in order, and has a group on disk before the next one begins.

use std::fs::{File, OpenOptions};
use std::io::{BufReader, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Instant;

use micabeam::ledger::{Outcome, Record};
use redb::{ReadableTable, TableDefinition};

use crate::{RigError, io_context};

/// The redb table that holds the records, by their sequence number.
const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
/// Numbers of records that share one sync.
const GROUP_SIZES: [usize; 3] = [1, 16, 256];
/// Longest record that [`Log::read`] accepts, in bytes; a longer length means that the file is damaged.
const MAX_RECORD_BYTES: usize = 1 << 24;

/// A storage engine that keeps records in order.
trait Store {
    /// Appends a group of records. They are on disk when it returns.
    fn append(&mut self, records: &[Vec<u8>]) -> Result<(), String>;
}

fn error_text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

/// The redb engine: its database and the last sequence number.
struct Redb(redb::Database, u64);

impl Redb {
    fn open(path: &Path) -> Result<Redb, String> {
        let db = redb::Database::create(path.join("db")).map_err(error_text)?;
        let write = db.begin_write().map_err(error_text)?;
        drop(write.open_table(TABLE).map_err(error_text)?);
        write.commit().map_err(error_text)?;
        Ok(Redb(db, 0))
    }

    fn read(path: &Path) -> Result<usize, String> {
        let db = redb::Database::open(path.join("db")).map_err(error_text)?;
        let read = db.begin_read().map_err(error_text)?;
        let table = read.open_table(TABLE).map_err(error_text)?;
        let mut count = 0;
        for row in table.iter().map_err(error_text)? {
            let (_, value) = row.map_err(error_text)?;
            count += usize::from(Record::decode(value.value()).is_ok());
        }
        Ok(count)
    }
}

impl Store for Redb {
    fn append(&mut self, records: &[Vec<u8>]) -> Result<(), String> {
        let write = self.0.begin_write().map_err(error_text)?;
        {
            let mut table = write.open_table(TABLE).map_err(error_text)?;
            for record in records {
                self.1 += 1;
                table.insert(self.1, record.as_slice()).map_err(error_text)?;
            }
        }
        write.commit().map_err(error_text)
    }
}

/// The fjall engine: its keyspace, the partition of the records, and the last sequence number.
struct Fjall(fjall::Keyspace, fjall::PartitionHandle, u64);

impl Fjall {
    fn open(path: &Path) -> Result<Fjall, String> {
        let db = fjall::Config::new(path).open().map_err(error_text)?;
        let records =
            db.open_partition("records", fjall::PartitionCreateOptions::default()).map_err(error_text)?;
        Ok(Fjall(db, records, 0))
    }

    fn read(path: &Path) -> Result<usize, String> {
        let store = Fjall::open(path)?;
        let mut count = 0;
        for row in store.1.iter() {
            let (_, value) = row.map_err(error_text)?;
            count += usize::from(Record::decode(&value).is_ok());
        }
        Ok(count)
    }
}

impl Store for Fjall {
    fn append(&mut self, records: &[Vec<u8>]) -> Result<(), String> {
        let mut batch = self.0.batch();
        for record in records {
            self.2 += 1;
            batch.insert(&self.1, self.2.to_be_bytes(), record.as_slice());
        }
        batch.commit().map_err(error_text)?;
        self.0.persist(fjall::PersistMode::SyncData).map_err(error_text)
    }
}

/// A log file in which a length and a CRC-32C checksum, of four bytes each, precede each record.
struct Log(File);

impl Log {
    fn open(path: &Path) -> Result<Log, String> {
        let file = OpenOptions::new().create(true).append(true).open(path.join("log"));
        Ok(Log(file.map_err(error_text)?))
    }

    fn read(path: &Path) -> Result<usize, String> {
        let mut file = BufReader::with_capacity(1 << 20, File::open(path.join("log")).map_err(error_text)?);
        let (mut count, mut head) = (0, [0; 8]);
        while file.read_exact(&mut head).is_ok() {
            let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
            let length = word(0) as usize;
            if length > MAX_RECORD_BYTES {
                break;
            }
            let mut record = vec![0; length];
            if file.read_exact(&mut record).is_err() || crc32c::crc32c(&record) != word(4) {
                break;
            }
            count += usize::from(Record::decode(&record).is_ok());
        }
        Ok(count)
    }
}

impl Store for Log {
    fn append(&mut self, records: &[Vec<u8>]) -> Result<(), String> {
        let mut frames = Vec::new();
        for record in records {
            frames.extend((record.len() as u32).to_le_bytes());
            frames.extend(crc32c::crc32c(record).to_le_bytes());
            frames.extend(record);
        }
        self.0.write_all(&frames).map_err(error_text)?;
        self.0.sync_data().map_err(error_text)
    }
}

/// Returns the encoded records of `jobs` jobs, those of one job one after the other.
fn make_records(jobs: usize) -> Vec<Vec<u8>> {
    let (due, body) = (1.7e12, vec![b'b'; 200]);
    let records = |no: u64| {
        let worker = "booking-worker-7".to_string();
        [
            Record::Accepted { no, class: 1, key: Some(no.to_be_bytes().to_vec()), due, body: body.clone() },
            Record::Leased { no, fence: no, worker, until: due },
            Record::Finished { no, outcome: Outcome::Served(vec![b'r'; 100]), keep: due },
        ]
    };
    (1..=jobs as u64).flat_map(records).map(|r| r.encode()).collect()
}

/// Returns the disk space that the files below a directory take.
fn disk_bytes(path: &Path) -> u64 {
    let entries = std::fs::read_dir(path).into_iter().flatten().flatten();
    let of = |entry: std::fs::DirEntry| match entry.metadata() {
        Ok(meta) if meta.is_dir() => disk_bytes(&entry.path()),
        // The allocated blocks, not the file length: the figure is the space taken on disk.
        Ok(meta) => std::os::unix::fs::MetadataExt::blocks(&meta) * 512,
        Err(_) => 0,
    };
    entries.map(of).sum()
}

/// Opens an engine in a directory.
type Open = fn(&Path) -> Result<Box<dyn Store>, String>;
/// Reads an engine's records back and returns the number of those that decode.
type Count = fn(&Path) -> Result<usize, String>;

/// Stores the records of `jobs` jobs in each engine, and prints the throughput, the time per sync and the
/// size.
///
/// # Errors
/// Returns an error if an engine fails, or doesn't return all records that were stored.
pub fn experiment(jobs: usize) -> Result<String, RigError> {
    let engines: [(&str, Open, Count); 3] = [
        ("redb", |p| Ok(Box::new(Redb::open(p)?)), Redb::read),
        ("fjall", |p| Ok(Box::new(Fjall::open(p)?)), Fjall::read),
        ("log", |p| Ok(Box::new(Log::open(p)?)), Log::read),
    ];
    let mut line = Vec::new();
    println!(
        "{:>6} {:>6} {:>10} {:>10} {:>9} {:>11} {:>10}",
        "engine", "group", "records/s", "ms a sync", "bytes/job", "read back s", "records"
    );
    for group in GROUP_SIZES {
        // One sync per record is slow, so a twentieth of the jobs suffices.
        let records = make_records(if group == 1 { jobs / 20 } else { jobs });
        for (name, open, count) in engines {
            let dir = directory(name, group)?;
            let check_failed = |e: String| RigError::CheckFailed(format!("{name}: {e}"));
            let mut store = open(&dir).map_err(check_failed)?;
            let began = Instant::now();
            for records in records.chunks(group) {
                store.append(records).map_err(check_failed)?;
            }
            let write_s = began.elapsed().as_secs_f64();
            drop(store);
            let (began, read_count) = (Instant::now(), count(&dir).map_err(check_failed)?);
            let read_s = began.elapsed().as_secs_f64();
            let bytes = disk_bytes(&dir) as f64 / (records.len() / 3) as f64;
            let rate = records.len() as f64 / write_s;
            let sync = write_s * 1e3 / records.len().div_ceil(group) as f64;
            println!(
                "{name:>6} {group:>6} {rate:>10.0} {sync:>10.3} {bytes:>9.0} {read_s:>11.2} {read_count:>10}"
            );
            io_context("directory of the store", std::fs::remove_dir_all(&dir))?;
            if read_count != records.len() {
                return Err(check_failed(format!(
                    "{read_count} of {} records were read back",
                    records.len()
                )));
            }
            line.push(format!("{name}_{group}={rate:.0}"));
        }
    }
    Ok(line.join(" "))
}

fn directory(name: &str, group: usize) -> Result<PathBuf, RigError> {
    let dir = std::env::temp_dir().join(format!("micabeam-stores-{}-{name}-{group}", std::process::id()));
    io_context("directory of the store", std::fs::create_dir_all(&dir))?;
    Ok(dir)
}
